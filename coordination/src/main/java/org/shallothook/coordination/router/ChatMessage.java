package org.shallothook.coordination.router;

/**
 * One message of a conversation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param role role of the author: {@code system}, {@code user} or {@code assistant}
 * @param content text of the message
 */
public record ChatMessage(String role, String content) {}
