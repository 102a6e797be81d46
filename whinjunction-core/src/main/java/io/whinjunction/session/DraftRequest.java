package io.whinjunction.session;

import io.whinjunction.configuration.Service;
import io.whinjunction.configuration.Team;
import io.whinjunction.place.PlaceRules;

/**
 * One draft to be made. Immutable.
 *
 * @param id the request id
 * @param model the model
 * @param team whose data it is
 * @param rules the place rules in force when it was admitted
 * @param prompt the prompt; never logged
 * @param maxTokens how many tokens to make
 * @param deadlineMs when the answer must be whole, on the entry's ticker
 */
public record DraftRequest(String id, Service.Model model, Team team, PlaceRules rules, String prompt, int maxTokens,
		long deadlineMs) {
}
