package org.shallothook.coordination.router;

/**
 * One message of a conversation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param role who speaks: {@code system}, {@code user} or {@code assistant}
 * @param content what is said
 */
public record ChatMessage(String role, String content) {}
