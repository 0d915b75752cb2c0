/// \file
/// A caller's request, as far as the decisions depend on it.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REQUESTDESCRIPTOR_H
#define HAVENSTAIR_DECISIONS_REQUEST_REQUESTDESCRIPTOR_H

#include "decisions/common/Time.h"
#include "decisions/request/CallerCredentials.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

/// A part of a prompt that other prompts may have in common with it.
struct PromptPart {
  std::string m_Id; ///< Equal for equal parts.
  int m_Tokens = 0;

  bool operator==(const PromptPart &) const = default;
};

/// One attempt of a caller's request.
struct RequestDescriptor {
  std::string m_Id;
  std::string m_Host;
  std::string m_Path;
  std::string m_Model;   ///< Empty for plain services.
  std::string m_Adapter; ///< Empty without one.
  std::vector<PromptPart> m_Prompt;
  int m_PromptTokens = 0;
  int m_MaxOutputTokens = 0;
  bool m_HasTokenCounts = false; ///< Whether the caller gave both counts.
  CallerCredentials m_Caller;
  /// Id of the event after which the caller resumes a stream; empty without.
  std::optional<std::int64_t> m_LastEvent;
  /// Attempt that brought the first event of the stream that the caller
  /// resumes; empty if it names none.
  std::string m_Resumes;
  /// Time left to the caller's deadline at arrival; empty without one.
  std::optional<Duration> m_Deadline;

  bool operator==(const RequestDescriptor &) const = default;
};

} // namespace havenstair

#endif
