/// \file
/// Digest of a request's content, which identifies it across retries.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTDIGEST_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTDIGEST_H

#include "decisions/common/Id.h"
#include <string_view>

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

} // namespace havenstair

#endif
