package io.whinjunction.bench;

import java.util.List;
import java.util.TreeSet;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.ModelProfile;
import org.jgrapht.alg.flow.PushRelabelMFImpl;
import org.jgrapht.graph.DefaultWeightedEdge;
import org.jgrapht.graph.SimpleDirectedWeightedGraph;

/**
 * The most requests a second that engines can carry with the layers they hold: the
 * maximal flow over layer boundaries, each engine working all the time and never waiting.
 * No policy reaches it. Stateless.
 */
final class ChainBound {

	private static final double MS_PER_S = 1000;

	private ChainBound() {
	}

	/**
	 * The bound.
	 * @param model the model
	 * @param engines the engines
	 * @return requests a second
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
				addTo(graph, bounds, model, engine);
			}
		}
		return new PushRelabelMFImpl<>(graph).calculateMaximumFlow(0, model.layers());
	}

	// An engine that holds several stretches between boundaries may give all of its time
	// to each of them, which only raises the bound.
	private static void addTo(SimpleDirectedWeightedGraph<Integer, DefaultWeightedEdge> graph, TreeSet<Integer> bounds,
			ModelProfile model, Engine engine) {
		Integer first = engine.held().first();
		while (first < engine.held().end()) {
			Integer end = bounds.higher(first);
			DefaultWeightedEdge edge = graph.getEdge(first, end);
			double before = (edge != null) ? graph.getEdgeWeight(edge) : 0;
			DefaultWeightedEdge kept = (edge != null) ? edge : graph.addEdge(first, end);
			graph.setEdgeWeight(kept, before + rate(model, engine, end - first));
			first = end;
		}
	}

	private static double rate(ModelProfile model, Engine engine, int layers) {
		double idleMs = layers * model.layerStepMs(engine.kind(), 0);
		double tokenMs = layers * model.layerStepMs(engine.kind(), 1) - idleMs;
		double workMs = model.meanAnswerTokens() * tokenMs
				+ model.readMs(engine.kind(), layers, model.meanPromptTokens());
		// A request holds its memory while all of its tokens pass at least this engine.
		double heldMs = model.meanAnswerTokens() * (idleMs + tokenMs);
		double room = model.kvCapacityTokens(engine.kind(), engine.heldLayers()) / (double) model.meanTokens();
		return Math.min(MS_PER_S / workMs, room * MS_PER_S / heldMs);
	}

}
