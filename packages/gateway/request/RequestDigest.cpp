#include "gateway/request/RequestDigest.h"

#include "wire/common/Crypto.h"
#include <string>

namespace havenstair {

namespace {

/// Hex digits, 128 bits: two of a million requests coincide in one of 10^26
/// cases, and nobody can make one that coincides with another's.
constexpr std::size_t DigestLength = 32;

} // namespace

RequestDigest digestOf(const RequestContent &Content) {
  std::string Text;
  for (const std::string_view Part :
       {Content.m_Method, Content.m_Host, Content.m_Target,
        Content.m_Organisation, Content.m_Body}) {
    // With their lengths, no two lists of parts read the same.
    Text += std::to_string(Part.size()) + ':';
    Text += Part;
  }
  return RequestDigest(sha256Hex(Text).substr(0, DigestLength));
}

} // namespace havenstair
