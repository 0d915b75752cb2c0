/// \file
/// Log lines of the daemon: one short sentence each, with a prefix that names
/// the component.
#ifndef HAVENSTAIR_HAVENSTAIRD_COMMON_LOG_H
#define HAVENSTAIR_HAVENSTAIRD_COMMON_LOG_H

#include <string>
#include <string_view>

namespace havenstair {

/// Components of the daemon; each has a fixed prefix.
enum class LogPart { Box, Lease, Owner, Entry, Keys, Table, Planner, Peers };

enum class LogLevel { Error, Warning, Info, Debug };

/// Starts to log lines of \p MinLevel and more severe ones to standard error,
/// and to \p File unless that is empty.
void startLogging(LogLevel MinLevel, const std::string &File);

void logError(LogPart Part, std::string_view Sentence);
void logWarning(LogPart Part, std::string_view Sentence);
void logInfo(LogPart Part, std::string_view Sentence);
void logDebug(LogPart Part, std::string_view Sentence);

} // namespace havenstair

#endif
