package io.whinjunction.session;

import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import io.whinjunction.configuration.Service;
import io.whinjunction.place.Placement;

/**
 * A request for one draft. Immutable.
 *
 * @param id the request id
 * @param model the model
 * @param placement supplies where its data may be at the time of the call; {@code null}
 * if nowhere, or if that is no longer known
 * @param awaitPlacement like {@code placement}, for a draft that has started: may wait
 * for the result until its argument returns {@code true}
 * @param prompt the prompt; never logged
 * @param maxTokens how many tokens to generate
 * @param deadlineMs when the answer must be complete, on the entry's ticker
 */
public record DraftRequest(String id, Service.Model model, Supplier<Placement> placement,
		Function<BooleanSupplier, Placement> awaitPlacement, String prompt, int maxTokens, long deadlineMs) {

	/**
	 * Creates a request that never waits for its placement.
	 * @param id the request id
	 * @param model the model
	 * @param placement supplies where its data may be at the time of the call
	 * @param prompt the prompt
	 * @param maxTokens how many tokens to generate
	 * @param deadlineMs when the answer must be complete
	 */
	public DraftRequest(String id, Service.Model model, Supplier<Placement> placement, String prompt, int maxTokens,
			long deadlineMs) {
		this(id, model, placement, (over) -> placement.get(), prompt, maxTokens, deadlineMs);
	}

}
