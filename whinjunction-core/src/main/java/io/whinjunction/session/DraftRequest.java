package io.whinjunction.session;

import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import io.whinjunction.configuration.Service;
import io.whinjunction.place.Placement;

/**
 * One draft to be made. Immutable.
 *
 * @param id the request id
 * @param model the model
 * @param placement where its data may be at the time of asking; {@code null}: nowhere, or
 * not known any more
 * @param awaitPlacement the same for a draft that has begun, which may wait for the
 * answer until what it is given says that the wait is over
 * @param prompt the prompt; never logged
 * @param maxTokens how many tokens to make
 * @param deadlineMs when the answer must be whole, on the entry's ticker
 */
public record DraftRequest(String id, Service.Model model, Supplier<Placement> placement,
		Function<BooleanSupplier, Placement> awaitPlacement, String prompt, int maxTokens, long deadlineMs) {

	/**
	 * A draft that waits for no permission.
	 * @param id the request id
	 * @param model the model
	 * @param placement where its data may be at the time of asking
	 * @param prompt the prompt
	 * @param maxTokens how many tokens to make
	 * @param deadlineMs when the answer must be whole
	 */
	public DraftRequest(String id, Service.Model model, Supplier<Placement> placement, String prompt, int maxTokens,
			long deadlineMs) {
		this(id, model, placement, (over) -> placement.get(), prompt, maxTokens, deadlineMs);
	}

}
