package org.shallothook.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** How a server ends an answer that it gives before it has read the request. */
public enum EarlyAnswer {
  RESET {
    @Override
    void end(Socket socket) throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  },
  HALF_CLOSE {
    @Override
    void end(Socket socket) throws IOException {
      socket.shutdownOutput();
      pause();
    }
  },
  HALF_CLOSE_THEN_RESET {
    @Override
    void end(Socket socket) throws IOException {
      HALF_CLOSE.end(socket);
      RESET.end(socket);
    }
  },
  READ_THEN_RESET {
    @Override
    void end(Socket socket) throws IOException {
      InputStream input = socket.getInputStream();
      input.skipNBytes(1 << 20);
      RESET.end(socket);
    }
  };

  /** Size of a request that the default buffers of a socket hold. */
  public static final int REQUEST_BYTES = 2 << 20;

  private static final long PAUSE_MILLIS = 300;

  /** Writes a part of an answer without a length once a request has begun, and ends it. */
  public void answer(Socket socket, String head) throws IOException {
    socket.getInputStream().skipNBytes(1);
    socket.getOutputStream().write((head + "\r\npart").getBytes(StandardCharsets.ISO_8859_1));
    end(socket);
  }

  abstract void end(Socket socket) throws IOException;

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
