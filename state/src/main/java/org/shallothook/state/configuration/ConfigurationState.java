package org.shallothook.state.configuration;

import java.util.Map;
import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Configuration in force at an offset of the configuration stream.
 *
 * <p>Invariant: the state is a function of the records below the offset alone, the same in every
 * process. Immutable and thread-safe.
 *
 * @param offset offset of the next record to fold; everything below it is in force
 * @param teams templates by name of the team
 */
public record ConfigurationState(long offset, PMap<String, TeamTemplate> teams) {
  /** State before any record. */
  public static final ConfigurationState EMPTY = new ConfigurationState(0, HashTreePMap.empty());

  /** Returns the template of a team, if there is one. */
  public Optional<TeamTemplate> team(String name) {
    return Optional.ofNullable(teams.get(name));
  }

  /** Returns the templates of all teams by name. */
  public Map<String, TeamTemplate> allTeams() {
    return teams;
  }
}
