package org.shallothook.benchmarks.workload;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.coordination.router.ChatMessage;

/** One conversation of a caller, turn by turn. Not thread-safe. */
final class Conversation {
  private final TeamSpec team;
  private final String tenant;
  private final List<ChatMessage> messages = new ArrayList<>();
  private int turns;

  Conversation(TeamSpec team, String tenant) {
    this.team = team;
    this.tenant = tenant;
  }

  TeamSpec team() {
    return team;
  }

  String tenant() {
    return tenant;
  }

  int turns() {
    return turns;
  }

  List<ChatMessage> ask(String question) {
    turns++;
    messages.add(new ChatMessage("user", question));
    return List.copyOf(messages);
  }

  void answered(String answer) {
    messages.add(new ChatMessage("assistant", answer));
  }
}
