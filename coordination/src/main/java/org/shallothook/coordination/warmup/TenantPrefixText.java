package org.shallothook.coordination.warmup;

import org.shallothook.state.configuration.TeamTemplate;

/**
 * Builds the text with which all prompts of a team's tenant begin: the rulebook, then the tenant's
 * text.
 *
 * <p>Every part starts with a marker line. Markers inside content are escaped.
 *
 * <p>Invariant: every prompt of the tenant starts with this text. Stateless and thread-safe.
 */
public final class TenantPrefixText {
  /** Start of the marker line that begins a part. */
  public static final String MARKER = "\n<|";

  private static final String ESCAPED_MARKER = "\n<\\|";

  private TenantPrefixText() {}

  /** Appends the rulebook, which is the first part of every prompt of a team. */
  public static void appendRulebook(StringBuilder text, TeamTemplate team) {
    appendPart(text, "rulebook", team.rulebook());
  }

  /** Appends the tenant's text, which follows the rulebook. */
  public static void appendTenant(StringBuilder text, String tenantText) {
    appendPart(text, "tenant", tenantText);
  }

  /** Appends a part of a prompt: its marker line, then its escaped content. */
  public static void appendPart(StringBuilder text, String name, String content) {
    text.append(MARKER).append(name).append("|>");
    text.append(("\n" + content).replace(MARKER, ESCAPED_MARKER));
  }

  /** Returns the whole shared prefix of a tenant's prompts. */
  static String of(TeamTemplate team, String tenantText) {
    StringBuilder text = new StringBuilder();
    appendRulebook(text, team);
    appendTenant(text, tenantText);
    return text.toString();
  }
}
