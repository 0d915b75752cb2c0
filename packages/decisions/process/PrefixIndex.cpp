#include "decisions/process/PrefixIndex.h"

#include "decisions/common/StableHash.h"
#include <string>

namespace havenstair {

namespace {

std::uint64_t start(const RequestDescriptor &Request) {
  return stableHash(Request.m_Model, Request.m_Adapter);
}

std::uint64_t extend(std::uint64_t Prefix, const PromptPart &Part) {
  return stableHash(std::to_string(Prefix), Part.m_Id);
}

/// Number of parts that requests may share; the last part belongs to one
/// request or session.
std::size_t sharedParts(const RequestDescriptor &Request) {
  return Request.m_Prompt.empty() ? 0 : Request.m_Prompt.size() - 1;
}

} // namespace

std::uint64_t PrefixIndex::sharedKey(const RequestDescriptor &Request) {
  std::uint64_t Key = start(Request);
  for (std::size_t Index = 0; Index < sharedParts(Request); ++Index)
    Key = extend(Key, Request.m_Prompt[Index]);
  return Key;
}

int PrefixIndex::cachedTokens(const InstanceId &At,
                              const RequestDescriptor &Request) const {
  const auto Found = m_Engines.find(At);
  if (Found == m_Engines.end())
    return 0;
  int Tokens = 0;
  std::uint64_t Key = start(Request);
  for (const PromptPart &Part : Request.m_Prompt) {
    Key = extend(Key, Part);
    if (!Found->second.m_ByKey.contains(Key))
      break;
    Tokens += Part.m_Tokens;
  }
  return Tokens;
}

void PrefixIndex::recordRead(const InstanceId &At,
                             const RequestDescriptor &Request) {
  Engine &Cache = m_Engines[At];
  std::uint64_t Key = start(Request);
  for (const PromptPart &Part : Request.m_Prompt) {
    Key = extend(Key, Part);
    touch(Cache, Key, Part.m_Tokens);
  }
}

void PrefixIndex::touch(Engine &At, std::uint64_t Key, int Tokens) const {
  if (const auto Found = At.m_ByKey.find(Key); Found != At.m_ByKey.end()) {
    At.m_Recent.splice(At.m_Recent.begin(), At.m_Recent, Found->second);
    return;
  }
  At.m_Recent.push_front({Key, Tokens});
  At.m_ByKey[Key] = At.m_Recent.begin();
  At.m_Tokens += Tokens;
  while (At.m_Tokens > m_TokensKept && At.m_Recent.size() > 1) {
    At.m_Tokens -= At.m_Recent.back().m_Tokens;
    At.m_ByKey.erase(At.m_Recent.back().m_Key);
    At.m_Recent.pop_back();
  }
}

} // namespace havenstair
