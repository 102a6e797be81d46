package io.whinjunction.once;

import java.util.List;
import java.util.Map;

/**
 * The first answer to an action, replayed for repeated requests. Immutable.
 *
 * @param status the status
 * @param headers the headers to replay
 * @param body the body
 */
public record StoredAnswer(int status, List<Map.Entry<String, String>> headers, byte[] body) {
}
