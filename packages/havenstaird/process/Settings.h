/// \file
/// Settings of a box: flags and HAVENSTAIR_* variables, checked at start.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_SETTINGS_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_SETTINGS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "havenstaird/common/Log.h"
#include "wire/common/Endpoint.h"
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace havenstair {

/// Thrown for a setting whose value is not allowed.
class SettingError : public std::runtime_error {
public:
  /// \p Allowed says which values are allowed.
  SettingError(const std::string &Name, const std::string &Value,
               const std::string &Allowed);
};

/// All settings of `havenstaird`.
struct Settings {
  BoxName m_Box;
  DataCentreName m_DataCentre;
  Endpoint m_Callers;
  Endpoint m_Operators;
  Endpoint m_Peers;
  Endpoint m_Platform;
  std::vector<Endpoint> m_Seeds;
  Duration m_LeaseTimeToLive = 15s;
  Duration m_LeaseRenewEvery = 5s;
  Duration m_OrderLife = 5s;
  Duration m_ClockSkew = 5s;
  Duration m_KeyRetention = 900s;
  Duration m_DefaultDeadline = 5s;
  Duration m_DigestEvery = 1s;
  Duration m_StopLimit = 60s;
  double m_FewMoves = 0;
  std::size_t m_MaxBody = 1 << 20; ///< In bytes.
  LogLevel m_LogLevel = LogLevel::Info;
  std::string m_LogFile;
  // Secrets come from the environment only, and are never logged.
  std::string m_PeerSecret;
  std::string m_OperatorToken;
  bool m_CheckOnly = false;
};

/// Returns the value of an environment variable; empty when it is not set.
using EnvironmentLookup =
    std::function<std::optional<std::string>(const std::string &)>;

/// Reads the settings from flags, from variables where a flag is not given, and
/// from defaults otherwise. For `--help` and `--version` it prints the text and
/// ends the process.
/// \throws SettingError for the first value that is not allowed.
Settings readSettings(const std::vector<std::string> &Arguments,
                      const EnvironmentLookup &Environment);

} // namespace havenstair

#endif
