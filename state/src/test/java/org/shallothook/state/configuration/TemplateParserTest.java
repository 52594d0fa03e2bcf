package org.shallothook.state.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.state.cache.ModelVersion;

final class TemplateParserTest {
  private static final String DIGEST = "a".repeat(64);
  private static final String TEAM =
      "[team]\nname = linen\nkey-sha256 = " + DIGEST + "\nmodel = m\nversion = 3\n";

  @Test
  void readsEverySection() {
    TeamTemplate template =
        TemplateParser.parse(
                TEAM
                    + "adapter = rota\npriority = priority\n"
                    + "[parameters]\nweek = W49\n"
                    + "[rulebook]\ntext = Register of ${week}\ntext =\ntext = end\n"
                    + "[tenant St. Anne]\ntext = Guild\n"
                    + "[limits]\nmaximum-prompt-bytes = 10\n"
                    + "[service cloths]\nrepeatable-paths = /list, week\nchecks-fencing = true\n")
            .get();
    assertThat(template.modelVersion()).isEqualTo(new ModelVersion("m", "3", "rota"));
    assertThat(template.priority()).isEqualTo(PriorityClass.PRIORITY);
    assertThat(template.rulebook()).isEqualTo("Register of W49\n\nend");
    assertThat(template.tenantText("St. Anne")).hasValue("Guild");
    assertThat(template.limits().maximumPromptBytes()).isEqualTo(10);
    assertThat(template.service("cloths"))
        .hasValue(new ServiceTemplate("cloths", Set.of("list", "week"), true));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "a; b # c = d: e, f | a; b # c = d: e, f",
        "\"said\" he \\ | \"said\" he \\",
        "C:\\dir\\n | C:\\dir\\n",
        "'single' | 'single'",
        "a \\\" b\\\\ | a \\\" b\\\\",
        "[not a section] | [not a section]",
        "$${kept} | ${kept}",
        "5 $ each | 5 $ each",
        "\"  indented\" | `  indented`"
      })
  void preservesTextExactly(String written, String expected) {
    String text = TEAM + "[rulebook]\ntext = " + written + "\ntext = next\n";
    assertThat(TemplateParser.parse(text).get().rulebook()).isEqualTo(expected + "\nnext");
  }

  @Test
  void readsLongTexts() {
    String line = "text = Track 7 may be booked from 06:00; see rule 12 # b\n";
    TeamTemplate template = TemplateParser.parse(TEAM + "[rulebook]\n" + line.repeat(20_000)).get();
    assertThat(template.rulebook()).hasLength(20_000 * (line.length() - 7) - 1);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[rulebok] ~ text = a | UNKNOWN_SECTION | rulebok",
        "[rulebook] ~ txt = a | UNKNOWN_KEY | txt",
        "[limits] ~ maximum-prompt-bytes = 0 | INVALID_VALUE | maximum-prompt-bytes",
        "[limits] ~ maximum-prompt-bytes = ten | INVALID_VALUE | ten",
        "[service s] ~ checks-fencing = yes | INVALID_VALUE | yes",
        "[rulebook] ~ text = ${nowhere} | UNDEFINED_PARAMETER | nowhere",
        "[team] ~ version = 4 | REPEATED_KEY | version",
        "[team] ~ priority = high | INVALID_VALUE | high",
        "[team] ~ priority-engines = 1 | INVALID_VALUE | priority-engines",
        "[team] ~ priority = priority ~ priority-engines = -1 | INVALID_VALUE | priority-engines"
      })
  void errorNamesPlaceAndRemedy(String addition, ConfigurationError.Kind kind, String named) {
    ConfigurationError error =
        TemplateParser.parse(TEAM + addition.replace(" ~ ", "\n") + "\n").getLeft();
    assertThat(error.kind()).isEqualTo(kind);
    assertThat(error.message()).contains(named);
    assertThat(error.message()).contains(kind.remedy());
    assertThat(error.message()).contains("docs/TROUBLESHOOTING.md#");
  }

  @ParameterizedTest
  @CsvSource({"'', 0", "priority-engines = 2, 2"})
  void readsNumberOfPriorityEngines(String line, int expected) {
    TeamTemplate template = TemplateParser.parse(TEAM + "priority = priority\n" + line).get();
    assertThat(template.priorityEngines()).isEqualTo(expected);
    assertThat(template.withoutPromptTexts().priorityEngines()).isEqualTo(expected);
  }

  @Test
  void rejectsATemplateWithoutModel() {
    ConfigurationError error = TemplateParser.parse(TEAM.replace("model = m\n", "")).getLeft();
    assertThat(error.kind()).isEqualTo(ConfigurationError.Kind.MISSING_KEY);
    assertThat(error.key()).isEqualTo("model");
  }
}
