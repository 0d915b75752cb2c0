/// \file
/// `havenstair`: the command-line tool for operators.
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
  --format=WORD        Format of losses: table or json [default: table].
  --by=WORD            Group losses by route, model, organisation or second
                       [default: route].
  --late=PART          Credit of a late answer [default: 0.3].
  --held=PART          Loss by waiting the target unserved [default: 1].
  --second=PART        Loss by an unserved second try [default: 0.3].
  --set=CELL           A cell as NAME=TEXT; lists are separated by blanks.
  --dry-run            Show and check what would change; write nothing.
  --callers=LIST       Addresses of boxes for callers, by commas.
  --keys=LIST          Bearer keys, by commas.
  --models=LIST        Models, by commas.
  --rate=N             Requests per second [default: 10].
  --burst=FACTOR       Factor of the rate in bursts [default: 1].
  --burst-ms=MS        Length of a burst [default: 1000].
  --burst-every-ms=MS  Time between starts of bursts [default: 10000].
  --seconds=N          How long to send [default: 10].
  --max-tokens=N       Tokens of each answer [default: 16].
  --whole              Ask for unstreamed answers.
  --seed=N             Seed of the random choices [default: 1].
  --first-ms=MS        Target for the first token [default: 680].
  --between-ms=MS      Target between tokens [default: 77].
  --least=PART         Fraction of requests that must meet both [default: 0].
  --quiet              Print no progress.

Exit codes: 0 done, 1 failed, 2 bad usage, 3 conflict, 4 refused value,
5 no box answered, 6 load missed its targets.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string environmentVariable(const char *Name) {
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
                       "'" + Text + "' is not an IP address with a port");
  return *Parsed;
}

double parseNumber(const Arguments &Args, const char *Flag) {
  const std::string Text = Args.at(Flag).asString();
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || !(Value >= 0))
    throw CommandError(ExitCode::BadUsage,
                       std::string(Flag) + ": '" + Text +
                           "' is not a number of 0 or more");
  return Value;
}

Duration parseMillis(const Arguments &Args, const char *Flag) {
  return fromMillis(parseNumber(Args, Flag));
}

LoadOptions loadOptions(const Arguments &Args) {
  LoadOptions Opts;
  for (const std::string &Text : splitList(Args.at("--callers").asString()))
    Opts.m_CallerAddresses.push_back(parseAddress(Text));
  Opts.m_Keys = splitList(Args.at("--keys").asString());
  Opts.m_Models = splitList(Args.at("--models").asString());
  if (Opts.m_CallerAddresses.empty() || Opts.m_Keys.empty() ||
      Opts.m_Models.empty())
    throw CommandError(ExitCode::BadUsage,
                       "--callers, --keys and --models must not be empty");
  Opts.m_Rate = parseNumber(Args, "--rate");
  if (Opts.m_Rate <= 0)
    throw CommandError(ExitCode::BadUsage, "--rate must be above 0");
  Opts.m_BurstFactor = parseNumber(Args, "--burst");
  Opts.m_BurstLength = parseMillis(Args, "--burst-ms");
  Opts.m_BurstPeriod = parseMillis(Args, "--burst-every-ms");
  Opts.m_SendDuration =
      std::chrono::seconds(static_cast<long>(parseNumber(Args, "--seconds")));
  Opts.m_MaxTokens = static_cast<int>(parseNumber(Args, "--max-tokens"));
  Opts.m_Stream = !Args.at("--whole").asBool();
  Opts.m_Seed = static_cast<std::uint64_t>(parseNumber(Args, "--seed"));
  Opts.m_FirstTokenTarget = parseMillis(Args, "--first-ms");
  Opts.m_BetweenTokensTarget = parseMillis(Args, "--between-ms");
  Opts.m_MinAttainment = parseNumber(Args, "--least");
  Opts.m_Json = Args.at("--json").asBool();
  Opts.m_Progress = !Args.at("--quiet").asBool();
  return Opts;
}

std::vector<CellEdit> cellEdits(const Arguments &Args) {
  std::vector<CellEdit> Edits;
  for (const std::string &Text : Args.at("--set").asStringList())
    Edits.push_back(parseCellEdit(Text));
  return Edits;
}

void runTable(const Arguments &Args, TableCommands &Commands) {
  const auto IsSet = [&](const char *Word) { return Args.at(Word).asBool(); };
  if (IsSet("import"))
    Commands.importCsv(Args.at("FILE").asStringList().front(),
                       Args.at("--dry-run").asBool());
  else if (IsSet("export"))
    Commands.exportCsv();
  else if (IsSet("edit"))
    Commands.setCells(
        Args.at("GROUP").asString(),
        {{Args.at("CELL").asString(), Args.at("TEXT").asString()}});
  else
    Commands.show();
}

void runGroup(const Arguments &Args, TableCommands &Commands) {
  const std::string Group = Args.at("GROUP").asString();
  if (Args.at("add").asBool())
    Commands.addGroup(Group, cellEdits(Args));
  else if (Args.at("set").asBool())
    Commands.setCells(Group, cellEdits(Args));
  else
    Commands.removeGroup(Group);
}

ApiClient makeClient(const Arguments &Args) {
  const docopt::value &Flag = Args.at("--operators");
  const std::string Address = Flag.isString()
                                  ? Flag.asString()
                                  : environmentVariable("HAVENSTAIR_OPERATORS");
  if (Address.empty())
    throw CommandError(ExitCode::BadUsage,
                       "no address: set --operators or HAVENSTAIR_OPERATORS");
  return ApiClient(parseAddress(Address),
                   environmentVariable("HAVENSTAIR_OPERATOR_TOKEN"));
}

void run(const Arguments &Args) {
  const auto IsSet = [&](const char *Word) { return Args.at(Word).asBool(); };
  if (IsSet("hash-key")) {
    std::cout << sha256Hex(Args.at("KEY").asString()) << "\n";
    return;
  }
  if (IsSet("trace"))
    return printTrace(Args.at("ID").asString(), Args.at("FILE").asStringList());
  if (IsSet("losses"))
    return printLosses(Args.at("FILE").asStringList(),
                       parseLossGrouping(Args.at("--by").asString()),
                       {.m_LateCredit = parseNumber(Args, "--late"),
                        .m_UnservedWaitPenalty = parseNumber(Args, "--held"),
                        .m_RetryFailurePenalty = parseNumber(Args, "--second")},
                       parseLossFormat(Args.at("--format").asString()));
  if (IsSet("load"))
    return LoadCommand(loadOptions(Args)).run();
  ApiClient Api = makeClient(Args);
  TableCommands Table(Api, IsSet("--json"));
  FleetCommands Fleet(Api, IsSet("--json"));
  if (IsSet("table"))
    runTable(Args, Table);
  else if (IsSet("group"))
    runGroup(Args, Table);
  else if (IsSet("models") && IsSet("import"))
    Table.importModels(Args.at("FILE").asStringList().front());
  else if (IsSet("models"))
    Table.showModels();
  else if (IsSet("upstreams"))
    Fleet.upstreams();
  else if (IsSet("boxes"))
    Fleet.boxes();
  else if (IsSet("moves"))
    Fleet.moves();
  else if (IsSet("explain"))
    Fleet.explain(Args.at("ID").asString());
  else
    Fleet.drain(Args.at("BOX").asString());
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
