#include "havenstaird/process/Settings.h"

#include "wire/common/Build.h"

#include <array>
#include <charconv>
#include <cmath>
#include <docopt/docopt.h>

namespace havenstair {

namespace {

constexpr std::size_t MinSecretLength = 16;

constexpr const char *Usage =
    R"(havenstaird: one box of havenstair.

Usage:
  havenstaird [options]

Each option can also be set by a variable: --box by HAVENSTAIR_BOX,
--lease-ms by HAVENSTAIR_LEASE_MS, and so on. Flags override variables.
HAVENSTAIR_PEER_SECRET and HAVENSTAIR_OPERATOR_TOKEN are read from the
environment only; each needs 16 characters or more.

Options:
  --box NAME              Name of this box; each start adds a suffix.
  --data-centre NAME      Data centre of this box.
  --callers ADDRESS       IP address and port for callers.
  --operators ADDRESS     IP address and port for operators.
  --peers ADDRESS         IP address and port for other boxes.
  --platform ADDRESS      IP address and port of the platform's service.
  --seeds LIST            Peer addresses of other boxes, separated by commas;
                          needed only to start while the platform is down.
  --lease-ms MS           Time to live of the box's lease [15000].
  --renew-ms MS           How often the lease is renewed [5000].
  --order-life-ms MS      Longest life of an order on the network [5000].
  --clock-skew-ms MS      Largest difference between the clocks of callers and
                          boxes [5000].
  --key-retention-ms MS   How long idempotency keys are kept [900000].
  --deadline-ms MS        Deadline of requests to plain services that give
                          none; for models it is the group's target [5000].
  --digest-ms MS          Interval at which owners report their load [1000].
  --stop-limit-ms MS      Longest duration of a planned stop [60000].
  --few-moves PART        0 prefers attainment of targets, 1 few moves [0].
  --max-body BYTES        Largest body of a request [1048576].
  --log-level LEVEL       error, warning, info or debug [info].
  --log-file FILE         Also log to this file.
  --check-settings        Check the settings and exit.
  --help                  Show this page.
  --version               Show the version.
)";

/// Looks up settings by their flags.
class Source {
public:
  Source(std::map<std::string, docopt::value> Flags,
         const EnvironmentLookup &Environment)
      : m_Flags(std::move(Flags)), m_Environment(Environment) {}

  std::optional<std::string> find(const std::string &Flag) const {
    const auto Found = m_Flags.find(Flag);
    if (Found != m_Flags.end() && Found->second.isString())
      return Found->second.asString();
    return m_Environment(variableOf(Flag));
  }

  bool given(const std::string &Flag) const {
    const auto Found = m_Flags.find(Flag);
    return Found != m_Flags.end() && Found->second.isBool() &&
           Found->second.asBool();
  }

  std::string required(const std::string &Flag,
                       const std::string &Allowed) const {
    std::optional<std::string> Value = find(Flag);
    if (!Value || Value->empty())
      throw SettingError(Flag, "", Allowed);
    return *Value;
  }

  std::string secret(const std::string &Variable) const {
    const std::string Value = m_Environment(Variable).value_or("");
    if (Value.size() < MinSecretLength)
      throw SettingError(Variable, Value.empty() ? "" : "(hidden)",
                         "16 characters or more, from the environment");
    return Value;
  }

private:
  static std::string variableOf(const std::string &Flag) {
    std::string Name = "HAVENSTAIR_";
    for (char Letter : Flag.substr(2))
      Name += Letter == '-' ? '_' : static_cast<char>(std::toupper(Letter));
    return Name;
  }

  std::map<std::string, docopt::value> m_Flags;
  const EnvironmentLookup &m_Environment;
};

std::string readName(const Source &From, const std::string &Flag) {
  const std::string Allowed = "1 to 64 of a-z A-Z 0-9 - _ .";
  const std::string Value = From.required(Flag, Allowed);
  const bool Good =
      Value.size() <= 64 &&
      Value.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTU"
                              "VWXYZ0123456789-_.") == std::string::npos;
  if (!Good)
    throw SettingError(Flag, Value, Allowed);
  return Value;
}

Endpoint readEndpoint(const Source &From, const std::string &Flag) {
  const std::string Allowed =
      "an IP address with a port, such as 127.0.0.1:8080";
  const std::string Value = From.required(Flag, Allowed);
  const std::optional<Endpoint> Parsed = Endpoint::parse(Value);
  if (!Parsed)
    throw SettingError(Flag, Value, Allowed);
  return *Parsed;
}

struct Range {
  double m_Min;
  double m_Max;
};

double readNumber(const Source &From, const std::string &Flag, double Default,
                  Range Allowed) {
  const std::optional<std::string> Text = From.find(Flag);
  if (!Text)
    return Default;
  double Value = 0;
  const char *End = Text->data() + Text->size();
  const auto Result = std::from_chars(Text->data(), End, Value);
  const bool Good = Result.ec == std::errc() && Result.ptr == End &&
                    Value >= Allowed.m_Min && Value <= Allowed.m_Max;
  if (!Good)
    throw SettingError(Flag, *Text,
                       "a number from " + std::to_string(Allowed.m_Min) +
                           " to " + std::to_string(Allowed.m_Max));
  return Value;
}

Duration readMillis(const Source &From, const std::string &Flag,
                    Duration Default, Range Allowed) {
  const double Millis = readNumber(From, Flag, inMillis(Default), Allowed);
  return fromMillis(Millis);
}

LogLevel readLevel(const Source &From) {
  const std::array<std::string, 4> Names{"error", "warning", "info", "debug"};
  const std::string Value = From.find("--log-level").value_or("info");
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (Names.at(Index) == Value)
      return static_cast<LogLevel>(Index);
  throw SettingError("--log-level", Value, "error, warning, info or debug");
}

Endpoint readSeed(const std::string &Text) {
  if (const auto Address = Endpoint::parse(Text))
    return *Address;
  throw SettingError("--seeds", Text,
                     "IP addresses with ports, separated by commas");
}

std::vector<Endpoint> readSeeds(const Source &From) {
  std::vector<Endpoint> Result;
  const std::string List = From.find("--seeds").value_or("");
  std::size_t Start = 0;
  while (Start < List.size()) {
    const std::size_t Comma = std::min(List.find(',', Start), List.size());
    Result.push_back(readSeed(List.substr(Start, Comma - Start)));
    Start = Comma + 1;
  }
  return Result;
}

} // namespace

SettingError::SettingError(const std::string &Name, const std::string &Value,
                           const std::string &Allowed)
    : std::runtime_error(
          "setting " + Name +
          (Value.empty() ? " is missing" : " has the value '" + Value + "'") +
          "; allowed: " + Allowed) {}

Settings readSettings(const std::vector<std::string> &Arguments,
                      const EnvironmentLookup &Environment) {
  const Source From(
      docopt::docopt(Usage, Arguments, true, "havenstaird " + buildName()),
      Environment);
  Settings Result;
  Result.m_CheckOnly = From.given("--check-settings");
  Result.m_Box = BoxName(readName(From, "--box"));
  Result.m_DataCentre = DataCentreName(readName(From, "--data-centre"));
  Result.m_Callers = readEndpoint(From, "--callers");
  Result.m_Operators = readEndpoint(From, "--operators");
  Result.m_Peers = readEndpoint(From, "--peers");
  Result.m_Platform = readEndpoint(From, "--platform");
  Result.m_Seeds = readSeeds(From);
  Result.m_LeaseTimeToLive =
      readMillis(From, "--lease-ms", Result.m_LeaseTimeToLive, {1000, 600000});
  Result.m_LeaseRenewEvery =
      readMillis(From, "--renew-ms", Result.m_LeaseRenewEvery, {100, 300000});
  if (Result.m_LeaseRenewEvery * 2 > Result.m_LeaseTimeToLive)
    throw SettingError("--renew-ms", From.find("--renew-ms").value_or("5000"),
                       "at most half of --lease-ms");
  Result.m_OrderLife =
      readMillis(From, "--order-life-ms", Result.m_OrderLife, {100, 600000});
  Result.m_ClockSkew =
      readMillis(From, "--clock-skew-ms", Result.m_ClockSkew, {0, 600000});
  Result.m_KeyRetention = readMillis(From, "--key-retention-ms",
                                     Result.m_KeyRetention, {1000, 86400000});
  Result.m_DefaultDeadline =
      readMillis(From, "--deadline-ms", Result.m_DefaultDeadline, {1, 600000});
  Result.m_DigestEvery =
      readMillis(From, "--digest-ms", Result.m_DigestEvery, {50, 10000});
  Result.m_StopLimit =
      readMillis(From, "--stop-limit-ms", Result.m_StopLimit, {0, 3600000});
  Result.m_FewMoves = readNumber(From, "--few-moves", 0, {0, 1});
  Result.m_MaxBody = static_cast<std::size_t>(
      readNumber(From, "--max-body", 1 << 20, {1024, 64 << 20}));
  Result.m_LogLevel = readLevel(From);
  Result.m_LogFile = From.find("--log-file").value_or("");
  Result.m_PeerSecret = From.secret("HAVENSTAIR_PEER_SECRET");
  Result.m_OperatorToken = From.secret("HAVENSTAIR_OPERATOR_TOKEN");
  return Result;
}

} // namespace havenstair
