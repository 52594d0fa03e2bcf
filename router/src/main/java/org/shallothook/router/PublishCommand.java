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
 * The verb {@code publish}: publishes templates through a running router.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "publish",
    mixinStandardHelpOptions = true,
    description = "Publishes templates. A file's name without .ini is the name of its template.",
    footerHeading = "%nExamples:%n",
    footer = {
      "  shallothook-router publish --settings router.ini --wait templates/saint-ana.ini",
      "  shallothook-router publish --settings router.ini --remove saint-ana",
      "",
      "Exit codes: 0 accepted, 1 undecided or unreachable, 2 invalid, 3 another change won."
    })
final class PublishCommand extends OperatorCommand {
  private static final String SUFFIX = ".ini";
  private static final long POLL_MILLIS = 100;

  @Parameters(paramLabel = "FILE", arity = "0..*", description = "Template files (INI).")
  private List<Path> files = List.of();

  @Option(names = "--remove", paramLabel = "TEAM", description = "Removes a team's template.")
  private List<String> removals = List.of();

  @Option(
      names = "--change",
      paramLabel = "ID",
      description = "Identifier of the change; give the same one to repeat a publication.")
  private Optional<String> change = Optional.empty();

  @Option(
      names = "--base",
      paramLabel = "OFFSET",
      description = "Offset that you saw; a later change to the template then wins over yours.")
  private Optional<Long> base = Optional.empty();

  @Option(names = "--wait", description = "Waits until every known instance has it in force.")
  private boolean isWaiting;

  @Option(
      names = "--wait-seconds",
      defaultValue = "8",
      description = "Longest wait, in seconds. Default: ${DEFAULT-VALUE}.")
  private int waitSeconds;

  @Override
  int run(AdminClient client) throws IOException, InterruptedException {
    if (files.isEmpty() && removals.isEmpty()) {
      errors().println("Name a template file, or a team with --remove.");
      return ExitCode.USAGE;
    }
    long highest = -1;
    for (Path file : files) {
      PublishAnswer answer = publish(client, nameOf(file), Files.readString(file));
      if (!answer.result().equals(PublishAnswer.ACCEPTED)) {
        return exitCode(answer);
      }
      highest = Math.max(highest, answer.offset());
    }
    for (String removal : removals) {
      PublishAnswer answer = publish(client, removal, null);
      if (!answer.result().equals(PublishAnswer.ACCEPTED)) {
        return exitCode(answer);
      }
      highest = Math.max(highest, answer.offset());
    }
    return isWaiting ? await(client, highest) : ExitCode.SUCCESS;
  }

  private PublishAnswer publish(AdminClient client, String template, String source)
      throws IOException, InterruptedException {
    String identifier =
        change.map(given -> given + "-" + template).orElseGet(() -> UUID.randomUUID().toString());
    PublishForm form = new PublishForm(identifier, template, source, base.orElse(null));
    String body = client.post("/publish", AdminJson.write(form));
    PublishAnswer answer = AdminJson.read(body, PublishAnswer.class);
    String place = answer.offset() < 0 ? "" : " at offset " + answer.offset();
    output().println(template + ": " + answer.result() + place + ". " + answer.detail());
    return answer;
  }

  private int await(AdminClient client, long offset) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
    InForce inForce = read(client);
    while (!inForce.waiting(offset).isEmpty() && System.nanoTime() < deadlineNanos) {
      Pause.ofMillis(POLL_MILLIS);
      inForce = read(client);
    }
    inForce.offsets().forEach((name, seen) -> output().println("  " + line(name, seen, offset)));
    return inForce.waiting(offset).isEmpty() ? ExitCode.SUCCESS : ExitCode.FAILURE;
  }

  private static InForce read(AdminClient client) throws IOException, InterruptedException {
    return AdminJson.read(client.get("/in-force"), InForce.class);
  }

  private static String line(String name, long seen, long offset) {
    return name + (seen > offset ? ": in force" : ": not known to have it, last seen at " + seen);
  }

  private static String nameOf(Path file) {
    String name = String.valueOf(file.getFileName());
    return name.endsWith(SUFFIX) ? name.substring(0, name.length() - SUFFIX.length()) : name;
  }

  private static int exitCode(PublishAnswer answer) {
    return switch (answer.result()) {
      case PublishAnswer.INVALID -> ExitCode.USAGE;
      case PublishAnswer.CONFLICT -> ExitCode.CONFLICT;
      default -> ExitCode.FAILURE;
    };
  }
}
