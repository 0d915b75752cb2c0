#include "gateway/request/RequestDigest.h"

#include "wire/common/Crypto.h"
#include <string>

namespace havenstair {

namespace {

/// Hex digits, which are 128 bits: the probability that two of a million
/// requests collide is one in 10^26, and nobody can construct a collision with
/// a given request.
constexpr std::size_t DigestLength = 32;

} // namespace

RequestDigest digestOf(const RequestContent &Content) {
  std::string Text;
  for (const std::string_view Part :
       {Content.m_Method, Content.m_Host, Content.m_Target,
        Content.m_Organisation, Content.m_Body}) {
    // The lengths keep different lists of parts from yielding the same text.
    Text += std::to_string(Part.size()) + ':';
    Text += Part;
  }
  return RequestDigest(sha256Hex(Text).substr(0, DigestLength));
}

} // namespace havenstair
