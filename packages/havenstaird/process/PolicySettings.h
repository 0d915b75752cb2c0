/// \file
/// Settings of the policy of a gateway: flags and HAVENSTAIR_* variables.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_POLICYSETTINGS_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_POLICYSETTINGS_H

#include "gateway/process/GatewayPolicy.h"
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace havenstair {

/// Returns the text of a flag or of its variable; empty when neither is given.
using SettingLookup =
    std::function<std::optional<std::string>(const std::string &Flag)>;

/// Returns the flags with their defaults.
std::map<std::string, double> policyDefaults();

/// Returns the lines of the usage page, with ranges and defaults.
std::string policyUsage();

/// Reads the policy. \throws SettingError for the first value that is not
/// allowed.
GatewayPolicy readPolicy(const SettingLookup &Find);

} // namespace havenstair

#endif
