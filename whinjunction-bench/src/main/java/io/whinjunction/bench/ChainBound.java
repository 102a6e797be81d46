package io.whinjunction.bench;

import java.util.List;
import java.util.TreeSet;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.ModelProfile;
import org.jgrapht.alg.flow.PushRelabelMFImpl;
import org.jgrapht.graph.DefaultWeightedEdge;
import org.jgrapht.graph.SimpleDirectedWeightedGraph;

/**
 * Upper bound on the request rate of engines with the layers they hold: the maximum flow
 * over layer boundaries, with each engine always busy. No policy reaches it. Stateless.
 */
final class ChainBound {

	private static final double MS_PER_S = 1000;

	private ChainBound() {
	}

	/**
	 * Returns the bound.
	 * @param model the model
	 * @param engines the engines
	 * @return the bound, in requests per second
	 */
	static double requestsPerSecond(ModelProfile model, List<Engine> engines) {
		TreeSet<Integer> bounds = new TreeSet<>(List.of(0, model.layers()));
		engines.stream().filter((engine) -> engine.held() != null).forEach((engine) -> {
			bounds.add(engine.held().first());
			bounds.add(engine.held().end());
		});
		SimpleDirectedWeightedGraph<Integer, DefaultWeightedEdge> graph = new SimpleDirectedWeightedGraph<>(
				DefaultWeightedEdge.class);
		bounds.forEach(graph::addVertex);
		for (Engine engine : engines) {
			if (engine.held() != null) {
				addEdges(graph, bounds, model, engine);
			}
		}
		return new PushRelabelMFImpl<>(graph).calculateMaximumFlow(0, model.layers());
	}

	// The full rate of an engine is added to each section between boundaries that it
	// holds. This only raises the bound.
	private static void addEdges(SimpleDirectedWeightedGraph<Integer, DefaultWeightedEdge> graph,
			TreeSet<Integer> bounds, ModelProfile model, Engine engine) {
		Integer first = engine.held().first();
		while (first < engine.held().end()) {
			Integer end = bounds.higher(first);
			DefaultWeightedEdge edge = graph.getEdge(first, end);
			double previousWeight = (edge != null) ? graph.getEdgeWeight(edge) : 0;
			DefaultWeightedEdge section = (edge != null) ? edge : graph.addEdge(first, end);
			graph.setEdgeWeight(section, previousWeight + rate(model, engine, end - first));
			first = end;
		}
	}

	private static double rate(ModelProfile model, Engine engine, int layers) {
		double idleMs = layers * model.layerStepMs(engine.kind(), 0);
		double tokenMs = layers * model.layerStepMs(engine.kind(), 1) - idleMs;
		double workMs = model.meanAnswerTokens() * tokenMs
				+ model.prefillMs(engine.kind(), layers, model.meanPromptTokens());
		// A request holds its memory at least until all of its tokens have passed this
		// engine.
		double heldMs = model.meanAnswerTokens() * (idleMs + tokenMs);
		double concurrentRequests = model.kvCapacityTokens(engine.kind(), engine.heldLayers())
				/ (double) model.meanTokens();
		return Math.min(MS_PER_S / workMs, concurrentRequests * MS_PER_S / heldMs);
	}

}
