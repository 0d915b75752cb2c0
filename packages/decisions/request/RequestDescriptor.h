/// \file
/// What the decisions know of a caller's request.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REQUESTDESCRIPTOR_H
#define HAVENSTAIR_DECISIONS_REQUEST_REQUESTDESCRIPTOR_H

#include "decisions/common/Time.h"
#include "decisions/request/CallerCredentials.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

/// A part of a prompt that other requests may share.
struct PromptPart {
  std::string m_Id;
  int m_Tokens = 0;

  bool operator==(const PromptPart &) const = default;
};

/// One attempt of a caller.
struct RequestDescriptor {
  std::string m_Id;
  std::string m_Host;
  std::string m_Path;
  std::string m_Model;   ///< Empty for plain services.
  std::string m_Adapter; ///< Empty without one.
  std::vector<PromptPart> m_Prompt;
  int m_PromptTokens = 0;
  int m_MaxOutputTokens = 0;
  bool m_HasTokenCounts = false; ///< The caller told both counts.
  CallerCredentials m_Caller;
  std::optional<std::int64_t> m_LastEvent; ///< The caller resumes after it.
  std::optional<Duration> m_Deadline;      ///< What is left at arrival.

  bool operator==(const RequestDescriptor &) const = default;
};

} // namespace havenstair

#endif
