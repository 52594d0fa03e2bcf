package org.shallothook.coordination.router;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Maps API keys to teams.
 *
 * <p>A key is hashed and looked up by its digest; the digests are then compared in constant time.
 * The duration of the lookup depends only on digests, which callers cannot choose, so it reveals
 * nothing about valid keys.
 *
 * <p>Invariant: the index corresponds to the configuration of the latest call. Not thread-safe.
 */
final class TeamDirectory {
  private static final String ALGORITHM = "SHA-256";

  private long indexedOffset;
  private Map<String, TeamTemplate> teamsByDigest = Map.of();

  /** Returns the team that a key belongs to in the given configuration, if there is one. */
  Optional<TeamTemplate> authenticate(String key, ConfigurationState configuration) {
    if (configuration.offset() != indexedOffset) {
      index(configuration);
    }
    byte[] digest = digestOf(key);
    return Optional.ofNullable(teamsByDigest.get(HexFormat.of().formatHex(digest)))
        .filter(team -> MessageDigest.isEqual(digest, HexFormat.of().parseHex(team.keyDigest())));
  }

  private void index(ConfigurationState configuration) {
    Map<String, TeamTemplate> index = new HashMap<>();
    for (TeamTemplate team : configuration.allTeams().values()) {
      index.put(team.keyDigest(), team);
    }
    teamsByDigest = index;
    indexedOffset = configuration.offset();
  }

  private static byte[] digestOf(String key) {
    try {
      return MessageDigest.getInstance(ALGORITHM).digest(key.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java runtime provides " + ALGORITHM, e);
    }
  }
}
