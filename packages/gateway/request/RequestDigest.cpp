#include "gateway/request/RequestDigest.h"

#include "wire/common/Crypto.h"
#include <algorithm>
#include <cctype>
#include <set>
#include <string>

namespace havenstair {

namespace {

/// Hex digits, which are 128 bits: the probability that two of a million
/// requests collide is one in 10^26, and nobody can construct a collision with
/// a given request.
constexpr std::size_t DigestLength = 32;

/// Hex digits, which are 64 bits: what callers name is known only as this, and
/// messages about a crash have one for each part that was running.
constexpr std::size_t PartDigestLength = 16;

/// Parts of one prompt that are told apart; prompts have a few.
constexpr std::size_t MaxParts = 64;

std::string normalized(std::string_view Id) {
  std::string Result;
  for (const char Each : Id)
    if (std::isspace(static_cast<unsigned char>(Each)) == 0)
      Result +=
          static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
  return Result;
}

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

std::vector<CrashSuspect>
promptSuspects(const std::vector<PromptPart> &Prompt) {
  std::vector<CrashSuspect> Result;
  std::set<std::string> Seen;
  for (std::size_t Index = 0;
       Index + 1 < Prompt.size() && Result.size() < MaxParts; ++Index) {
    const std::string Id = normalized(Prompt[Index].m_Id);
    if (!Id.empty() && Seen.insert(Id).second)
      Result.push_back(CrashSuspect::ofPromptPart(
          sha256Hex(Id).substr(0, PartDigestLength)));
  }
  return Result;
}

} // namespace havenstair
