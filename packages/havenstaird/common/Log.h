/// \file
/// Log lines: one short sentence each, with the prefix of its part.
#ifndef HAVENSTAIR_HAVENSTAIRD_COMMON_LOG_H
#define HAVENSTAIR_HAVENSTAIRD_COMMON_LOG_H

#include <string>
#include <string_view>

namespace havenstair {

/// The parts of the daemon; each has its fixed prefix.
enum class LogPart { Box, Lease, Owner, Entry, Keys, Table, Planner, Peers };

enum class LogLevel { Error, Warning, Info, Debug };

/// Sets up logging to standard error, and to \p File unless it is empty.
void startLogging(LogLevel Least, const std::string &File);

void logError(LogPart Part, std::string_view Sentence);
void logWarning(LogPart Part, std::string_view Sentence);
void logInfo(LogPart Part, std::string_view Sentence);
void logDebug(LogPart Part, std::string_view Sentence);

} // namespace havenstair

#endif
