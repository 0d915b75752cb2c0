/// \file
/// Recognises a request that comes again under another id.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTDIGEST_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTDIGEST_H

#include "decisions/common/Id.h"
#include <string_view>

namespace havenstair {

/// What callers repeat when they try again.
struct RequestContent {
  std::string_view m_Method;
  std::string_view m_Host;
  std::string_view m_Target; ///< Path with query.
  std::string_view m_Organisation;
  std::string_view m_Body;
};

/// The digest of \p Content. Ids, deadlines and other header fields differ from
/// try to try and have no part in it. All boxes come to the same digest, so the
/// organisation stands for its keys, of which each box has hashes of its own.
/// Nothing of the request can be read from it.
RequestDigest digestOf(const RequestContent &Content);

} // namespace havenstair

#endif
