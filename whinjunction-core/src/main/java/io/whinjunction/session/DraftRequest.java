package io.whinjunction.session;

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
 * @param prompt the prompt; never logged
 * @param maxTokens how many tokens to make
 * @param deadlineMs when the answer must be whole, on the entry's ticker
 */
public record DraftRequest(String id, Service.Model model, Supplier<Placement> placement, String prompt, int maxTokens,
		long deadlineMs) {
}
