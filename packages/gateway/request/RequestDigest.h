/// \file
/// Digests that identify a request across retries, and the parts of its prompt
/// across requests.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTDIGEST_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTDIGEST_H

#include "decisions/process/CrashSuspect.h"
#include "decisions/request/RequestDescriptor.h"
#include <string_view>
#include <vector>

namespace havenstair {

/// The parts of a request that callers repeat when they retry.
struct RequestContent {
  std::string_view m_Method;
  std::string_view m_Host;
  std::string_view m_Target; ///< Path with query.
  std::string_view m_Organisation;
  std::string_view m_Body;
};

/// \returns the digest of \p Content. Ids, deadlines and other header fields
/// are left out, as they differ from try to try. All boxes compute the same
/// digest: it covers the organisation instead of the key, because each box
/// hashes keys in its own way. The content cannot be recovered from the digest.
RequestDigest digestOf(const RequestContent &Content);

/// \returns the parts of \p Prompt that other requests may share: all but the
/// last, each once, in order; no more than a bounded number of the first. Case
/// of the hex digits and blanks around an id make no difference. Whoever sends
/// a part has the same suspect.
std::vector<CrashSuspect> promptSuspects(const std::vector<PromptPart> &Prompt);

} // namespace havenstair

#endif
