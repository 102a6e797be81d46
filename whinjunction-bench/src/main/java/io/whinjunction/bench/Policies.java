package io.whinjunction.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.whinjunction.pipeline.ChoicePolicy;

/**
 * Policies that are compared: three baselines and that of the product. Stateless.
 */
final class Policies {

	static final String OURS = "ours";

	static final String ROUND_ROBIN = "round-robin";

	private Policies() {
	}

	static Map<String, Supplier<ChoicePolicy>> all() {
		Map<String, Supplier<ChoicePolicy>> policies = new LinkedHashMap<>();
		policies.put("random", ChoicePolicy.Uniform::new);
		policies.put(ROUND_ROBIN, () -> new ChoicePolicy.RoundRobin(new AtomicInteger()));
		policies.put("least-in-flight", ChoicePolicy.LeastInFlight::new);
		policies.put(OURS, Policies::ours);
		return policies;
	}

	static ChoicePolicy ours() {
		return ChoicePolicy.standard();
	}

}
