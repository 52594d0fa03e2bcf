package org.shallothook.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.shallothook.transport.admin.AdminJson;
import org.shallothook.transport.command.ExitCode;
import org.shallothook.transport.process.Pause;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The {@code publish} command: publishes templates through a running router.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "publish",
    mixinStandardHelpOptions = true,
    description =
        "Publishes templates. A template is named after its file, without the suffix .ini.",
    footerHeading = "%nExamples:%n",
    footer = {
      "  shallothook-router publish --settings router.ini --wait templates/saint-ana.ini",
      "  shallothook-router publish --settings router.ini --remove saint-ana",
      "",
      "Exit codes: 0 accepted, 1 undecided or unreachable, 2 invalid, 3 another change won."
    })
final class PublishCommand extends AdminCommand {
  private static final String SUFFIX = ".ini";
  private static final long POLL_MILLIS = 100;

  @Parameters(paramLabel = "FILE", arity = "0..*", description = "Template files (INI).")
  private List<Path> files = List.of();

  @Option(names = "--remove", paramLabel = "TEAM", description = "Removes a team's template.")
  private List<String> removals = List.of();

  @Option(
      names = "--change",
      paramLabel = "ID",
      description = "Identifier of the change; use the same one to repeat a publication.")
  private Optional<String> change = Optional.empty();

  @Option(
      names = "--base",
      paramLabel = "OFFSET",
      description =
          "Configuration offset that the change is based on; a later change to the template"
              + " conflicts with it.")
  private Optional<Long> base = Optional.empty();

  @Option(
      names = "--wait",
      description = "Waits until every known instance has applied the change.")
  private boolean isWaiting;

  @Option(
      names = "--wait-seconds",
      defaultValue = "8",
      description = "Longest wait, in seconds. Default: ${DEFAULT-VALUE}.")
  private int waitSeconds;

  @Override
  int run(AdminClient client) throws IOException, InterruptedException {
    if (files.isEmpty() && removals.isEmpty()) {
      errors().println("Specify a template file, or a team with --remove.");
      return ExitCode.USAGE;
    }
    long highest = -1;
    for (Path file : files) {
      PublishResponse response = publish(client, templateName(file), Files.readString(file));
      if (!response.result().equals(PublishResponse.ACCEPTED)) {
        return exitCode(response);
      }
      highest = Math.max(highest, response.offset());
    }
    for (String removal : removals) {
      PublishResponse response = publish(client, removal, null);
      if (!response.result().equals(PublishResponse.ACCEPTED)) {
        return exitCode(response);
      }
      highest = Math.max(highest, response.offset());
    }
    return isWaiting ? awaitApplied(client, highest) : ExitCode.SUCCESS;
  }

  private PublishResponse publish(AdminClient client, String template, String source)
      throws IOException, InterruptedException {
    String identifier =
        change.map(given -> given + "-" + template).orElseGet(() -> UUID.randomUUID().toString());
    PublishRequest request = new PublishRequest(identifier, template, source, base.orElse(null));
    String body = client.post("/publish", AdminJson.write(request));
    PublishResponse response = AdminJson.read(body, PublishResponse.class);
    String position = response.offset() < 0 ? "" : " at offset " + response.offset();
    output().println(template + ": " + response.result() + position + ". " + response.detail());
    return response;
  }

  private int awaitApplied(AdminClient client, long offset)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
    AppliedOffsets applied = readAppliedOffsets(client);
    while (!applied.instancesWithout(offset).isEmpty() && System.nanoTime() < deadlineNanos) {
      Pause.ofMillis(POLL_MILLIS);
      applied = readAppliedOffsets(client);
    }
    applied
        .offsets()
        .forEach((name, reported) -> output().println("  " + instanceLine(name, reported, offset)));
    return applied.instancesWithout(offset).isEmpty() ? ExitCode.SUCCESS : ExitCode.FAILURE;
  }

  private static AppliedOffsets readAppliedOffsets(AdminClient client)
      throws IOException, InterruptedException {
    return AdminJson.read(client.get("/in-force"), AppliedOffsets.class);
  }

  private static String instanceLine(String name, long reported, long offset) {
    return name
        + (reported > offset
            ? ": in force"
            : ": not known to have applied it, last reported offset " + reported);
  }

  private static String templateName(Path file) {
    String name = String.valueOf(file.getFileName());
    return name.endsWith(SUFFIX) ? name.substring(0, name.length() - SUFFIX.length()) : name;
  }

  private static int exitCode(PublishResponse response) {
    return switch (response.result()) {
      case PublishResponse.INVALID -> ExitCode.USAGE;
      case PublishResponse.CONFLICT -> ExitCode.CONFLICT;
      default -> ExitCode.FAILURE;
    };
  }
}
