package org.shallothook.benchmarks.matrix;

import java.util.Locale;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;

/**
 * Step in handling a chat, a booking, a publication, an engine order or a graceful stop, at which a
 * fault can be injected.
 *
 * <p>Immutable and thread-safe.
 */
enum Step {
  AUTHENTICATE {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof RouterEvent.ChatRequested;
    }
  },
  OFFER {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof RouterCommand.SendToPeer send
          && send.message() instanceof PeerMessage.Offer;
    }
  },
  QUEUE {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarEvent.PeerMessageReceived received
          && received.envelope().message() instanceof PeerMessage.Submit;
    }
  },
  DISPATCH {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarCommand.StartAnswer;
    }
  },
  FIRST_TOKEN {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarEvent.EngineTokens tokens
          && tokens.position() == 0;
    }
  },
  MID_STREAM {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarEvent.EngineTokens tokens
          && tokens.position() >= MID_STREAM_POSITION;
    }
  },
  LAST_TOKEN {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarEvent.EngineEnded;
    }
  },
  CLAIM_APPEND {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarCommand.AppendLog append
          && append.stream().startsWith(CLAIMS);
    }
  },
  CLAIM_READ_BACK {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarEvent.LogRead read
          && read.page().stream().startsWith(CLAIMS)
          && !read.page().records().isEmpty();
    }
  },
  OUTCOME_APPEND {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarEvent.ServiceAnswered;
    }
  },
  PUBLISH {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof RouterCommand.AppendLog append
          && append.stream().equals(CONFIGURATION);
    }
  },
  APPLY {
    @Override
    boolean matches(Occurrence occurrence) {
      if (occurrence.subject() instanceof SidecarEvent.PeerMessageReceived received) {
        return received.envelope().message() instanceof PeerMessage.ConfigurationRecords records
            && !records.records().isEmpty();
      }
      return occurrence.subject() instanceof SidecarEvent.LogRead read
          && read.page().stream().equals(CONFIGURATION)
          && !read.page().records().isEmpty();
    }
  },
  LOAD_ORDER {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarCommand.OrderModelVersion;
    }
  },
  DRAIN {
    @Override
    boolean matches(Occurrence occurrence) {
      return occurrence.subject() instanceof SidecarEvent.DrainRequested;
    }
  };

  private static final int MID_STREAM_POSITION = 10;
  private static final String CLAIMS = "claims-";
  private static final String CONFIGURATION = "configuration";

  /** Returns whether an event or command is an occurrence of this step. */
  abstract boolean matches(Occurrence occurrence);

  /** Returns the step's name in the result table. */
  String title() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
