/// \file
/// `havenstair`: the command line for operators.
#include "havenstair/common/ApiClient.h"
#include "havenstair/common/ExitCode.h"
#include "havenstair/process/FleetCommands.h"
#include "havenstair/request/LoadCommand.h"
#include "havenstair/request/LossesCommand.h"
#include "havenstair/request/TraceCommand.h"
#include "havenstair/version/TableCommands.h"
#include "wire/common/Build.h"
#include "wire/common/Crypto.h"

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace havenstair;

constexpr const char *Usage =
    R"(havenstair: operates a havenstair system.

Usage:
  havenstair table show [options]
  havenstair table export [options]
  havenstair table import FILE [--dry-run] [options]
  havenstair table edit GROUP CELL TEXT [options]
  havenstair group add GROUP [--set=CELL]... [options]
  havenstair group set GROUP --set=CELL... [options]
  havenstair group remove GROUP [options]
  havenstair models [show] [options]
  havenstair models import FILE [options]
  havenstair upstreams [options]
  havenstair boxes [options]
  havenstair moves [options]
  havenstair explain ID [options]
  havenstair trace ID FILE...
  havenstair losses [--by=WORD] [--late=PART] [--held=PART]
                    [--second=PART] [--format=WORD] FILE...
  havenstair drain BOX [options]
  havenstair hash-key KEY
  havenstair load --callers=LIST --keys=LIST --models=LIST [--rate=N]
                  [--burst=FACTOR] [--burst-ms=MS] [--burst-every-ms=MS]
                  [--seconds=N] [--max-tokens=N] [--whole] [--seed=N]
                  [--first-ms=MS] [--between-ms=MS] [--least=PART]
                  [--quiet] [options]
  havenstair --help
  havenstair --version

The operators' token is read from HAVENSTAIR_OPERATOR_TOKEN.

Options:
  --operators ADDRESS  Operators' address of any box, or HAVENSTAIR_OPERATORS.
  --json               Print JSON.
  --format=WORD        Losses as table or json [default: table].
  --by=WORD            Losses by route, model, organisation or second
                       [default: route].
  --late=PART          Credit of a late answer [default: 0.3].
  --held=PART          Loss by waiting the target for nothing [default: 1].
  --second=PART        Loss by failing twice [default: 0.3].
  --set=CELL           A cell as NAME=TEXT; lists are separated by blanks.
  --dry-run            Show and check what would change; write nothing.
  --callers=LIST       Callers' addresses, by commas.
  --keys=LIST          Bearer keys, by commas.
  --models=LIST        Models, by commas.
  --rate=N             Requests a second [default: 10].
  --burst=FACTOR       Factor of the rate in bursts [default: 1].
  --burst-ms=MS        Length of a burst [default: 1000].
  --burst-every-ms=MS  Time from burst to burst [default: 10000].
  --seconds=N          How long to send [default: 10].
  --max-tokens=N       Tokens of each answer [default: 16].
  --whole              Ask for whole answers, not streams.
  --seed=N             Seed of the random choices [default: 1].
  --first-ms=MS        Target for the first token [default: 680].
  --between-ms=MS      Target between tokens [default: 77].
  --least=PART         Least part of requests that must meet both [default: 0].
  --quiet              No progress.

Exit codes: 0 done, 1 failed, 2 bad usage, 3 conflict, 4 refused value,
5 no box answered, 6 load missed its targets.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string environment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? "" : Value;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Result;
  std::size_t Start = 0;
  while (Start < Text.size()) {
    const std::size_t Comma = std::min(Text.find(',', Start), Text.size());
    Result.push_back(Text.substr(Start, Comma - Start));
    Start = Comma + 1;
  }
  return Result;
}

Endpoint parseAddress(const std::string &Text) {
  const auto Parsed = Endpoint::parse(Text);
  if (!Parsed)
    throw CommandError(ExitCode::BadUsage,
                       "'" + Text + "' is not an IP number with a port");
  return *Parsed;
}

double number(const Arguments &Given, const char *Flag) {
  const std::string Text = Given.at(Flag).asString();
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || !(Value >= 0))
    throw CommandError(ExitCode::BadUsage, std::string(Flag) + ": '" + Text +
                                               "' is not a number from 0 up");
  return Value;
}

Duration millis(const Arguments &Given, const char *Flag) {
  return fromMillis(number(Given, Flag));
}

LoadOptions loadOptions(const Arguments &Given) {
  LoadOptions Opts;
  for (const std::string &Text : splitList(Given.at("--callers").asString()))
    Opts.m_Callers.push_back(parseAddress(Text));
  Opts.m_Keys = splitList(Given.at("--keys").asString());
  Opts.m_Models = splitList(Given.at("--models").asString());
  if (Opts.m_Callers.empty() || Opts.m_Keys.empty() || Opts.m_Models.empty())
    throw CommandError(ExitCode::BadUsage,
                       "--callers, --keys and --models must not be empty");
  Opts.m_Rate = number(Given, "--rate");
  if (Opts.m_Rate <= 0)
    throw CommandError(ExitCode::BadUsage, "--rate must be above 0");
  Opts.m_BurstFactor = number(Given, "--burst");
  Opts.m_BurstLength = millis(Given, "--burst-ms");
  Opts.m_BurstEvery = millis(Given, "--burst-every-ms");
  Opts.m_Time =
      std::chrono::seconds(static_cast<long>(number(Given, "--seconds")));
  Opts.m_MaxTokens = static_cast<int>(number(Given, "--max-tokens"));
  Opts.m_Stream = !Given.at("--whole").asBool();
  Opts.m_Seed = static_cast<std::uint64_t>(number(Given, "--seed"));
  Opts.m_FirstTokenTarget = millis(Given, "--first-ms");
  Opts.m_BetweenTokensTarget = millis(Given, "--between-ms");
  Opts.m_LeastAttainment = number(Given, "--least");
  Opts.m_Json = Given.at("--json").asBool();
  Opts.m_Progress = !Given.at("--quiet").asBool();
  return Opts;
}

std::vector<CellEdit> cellEdits(const Arguments &Given) {
  std::vector<CellEdit> Edits;
  for (const std::string &Text : Given.at("--set").asStringList())
    Edits.push_back(parseCellEdit(Text));
  return Edits;
}

void runTable(const Arguments &Given, TableCommands &Commands) {
  const auto On = [&](const char *Word) { return Given.at(Word).asBool(); };
  if (On("import"))
    Commands.importCsv(Given.at("FILE").asStringList().front(),
                       Given.at("--dry-run").asBool());
  else if (On("export"))
    Commands.exportCsv();
  else if (On("edit"))
    Commands.setCells(
        Given.at("GROUP").asString(),
        {{Given.at("CELL").asString(), Given.at("TEXT").asString()}});
  else
    Commands.show();
}

void runGroup(const Arguments &Given, TableCommands &Commands) {
  const std::string Group = Given.at("GROUP").asString();
  if (Given.at("add").asBool())
    Commands.addGroup(Group, cellEdits(Given));
  else if (Given.at("set").asBool())
    Commands.setCells(Group, cellEdits(Given));
  else
    Commands.removeGroup(Group);
}

ApiClient makeClient(const Arguments &Given) {
  const docopt::value &Flag = Given.at("--operators");
  const std::string Address =
      Flag.isString() ? Flag.asString() : environment("HAVENSTAIR_OPERATORS");
  if (Address.empty())
    throw CommandError(ExitCode::BadUsage,
                       "give --operators or HAVENSTAIR_OPERATORS");
  return ApiClient(parseAddress(Address),
                   environment("HAVENSTAIR_OPERATOR_TOKEN"));
}

void run(const Arguments &Given) {
  const auto On = [&](const char *Word) { return Given.at(Word).asBool(); };
  if (On("hash-key")) {
    std::cout << sha256Hex(Given.at("KEY").asString()) << "\n";
    return;
  }
  if (On("trace"))
    return printTrace(Given.at("ID").asString(),
                      Given.at("FILE").asStringList());
  if (On("losses"))
    return printLosses(Given.at("FILE").asStringList(),
                       parseLossGrouping(Given.at("--by").asString()),
                       {.m_Late = number(Given, "--late"),
                        .m_HeldForNothing = number(Given, "--held"),
                        .m_SecondFailure = number(Given, "--second")},
                       parseLossFormat(Given.at("--format").asString()));
  if (On("load"))
    return LoadCommand(loadOptions(Given)).run();
  ApiClient Api = makeClient(Given);
  TableCommands Rows(Api, On("--json"));
  FleetCommands Fleet(Api, On("--json"));
  if (On("table"))
    runTable(Given, Rows);
  else if (On("group"))
    runGroup(Given, Rows);
  else if (On("models") && On("import"))
    Rows.importModels(Given.at("FILE").asStringList().front());
  else if (On("models"))
    Rows.showModels();
  else if (On("upstreams"))
    Fleet.upstreams();
  else if (On("boxes"))
    Fleet.boxes();
  else if (On("moves"))
    Fleet.moves();
  else if (On("explain"))
    Fleet.explain(Given.at("ID").asString());
  else
    Fleet.drain(Given.at("BOX").asString());
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    run(docopt::docopt(Usage, {Values + 1, Values + Count}, true,
                       "havenstair " + buildName()));
    return 0;
  } catch (const CommandError &Error) {
    std::cerr << "havenstair: " << Error.what() << "\n";
    return static_cast<int>(Error.code());
  } catch (const std::exception &Error) {
    std::cerr << "havenstair: " << Error.what() << "\n";
    return static_cast<int>(ExitCode::Failed);
  }
}
