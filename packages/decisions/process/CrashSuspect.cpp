#include "decisions/process/CrashSuspect.h"

#include <algorithm>

namespace havenstair {

namespace {

constexpr std::string_view PartPrefix = "part-";

} // namespace

CrashSuspect CrashSuspect::ofPromptPart(std::string_view Digest) {
  CrashSuspect Result;
  Result.m_Kind = Kind::PromptPart;
  Result.m_Digest = Digest;
  return Result;
}

CrashSuspect CrashSuspect::parse(const std::string &Text) {
  if (Text.starts_with(PartPrefix))
    return ofPromptPart(std::string_view(Text).substr(PartPrefix.size()));
  return RequestDigest(Text);
}

std::string CrashSuspect::str() const {
  return m_Kind == Kind::PromptPart ? std::string(PartPrefix) + m_Digest
                                    : m_Digest;
}

bool RequestSuspects::holds(const CrashSuspect &Suspect) const {
  if (Suspect.kind() == CrashSuspect::Kind::Request)
    return Suspect == CrashSuspect(m_Digest);
  return std::find(m_Parts.begin(), m_Parts.end(), Suspect) != m_Parts.end();
}

std::vector<CrashSuspect> RequestSuspects::all() const {
  std::vector<CrashSuspect> Result{m_Digest};
  Result.insert(Result.end(), m_Parts.begin(), m_Parts.end());
  return Result;
}

} // namespace havenstair
