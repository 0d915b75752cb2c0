#include "decisions/process/IdempotencyRegistry.h"

#include "decisions/version/Assignment.h"
#include <algorithm>
#include <charconv>

namespace havenstair {

namespace {

constexpr std::size_t UuidLength = 36;
/// Index of the digit that holds the version of a UUID.
constexpr std::size_t VersionPosition = 14;

WallMillis toMillis(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

/// RFC 9562, section 5.7: the first 48 bits are milliseconds since the epoch.
std::optional<WallMillis> keyMintedAt(const IdempotencyKey &Key) {
  const std::string &Text = Key.str();
  if (Text.size() != UuidLength || Text[8] != '-' || Text[13] != '-' ||
      Text[VersionPosition] != '7')
    return std::nullopt;
  const std::string Digits = Text.substr(0, 8) + Text.substr(9, 4);
  WallMillis Millis = 0;
  const char *End = Digits.data() + Digits.size();
  const auto Result = std::from_chars(Digits.data(), End, Millis, 16);
  if (Result.ec != std::errc() || Result.ptr != End || Millis < 0)
    return std::nullopt;
  return Millis;
}

IdempotencyRegistry::IdempotencyRegistry(Options Opts)
    : m_Opts(std::move(Opts)) {}

void IdempotencyRegistry::own(int Slice, TimePoint Now, WallMillis Wall) {
  m_OwnedSince.try_emplace(Slice, Ownership{.m_Since = Now, .m_Wall = Wall});
}

void IdempotencyRegistry::disown(int Slice) {
  m_OwnedSince.erase(Slice);
  std::erase_if(m_Records, [&](const auto &Item) {
    const auto &[Group, Key] = Item.first;
    if (keySlice(Group, Key) != Slice)
      return false;
    m_StoredBytes -= Item.second.m_Answer.m_Body.size();
    return true;
  });
}

bool IdempotencyRegistry::mayHaveRunBefore(const KeyedRequest &Request,
                                           const Ownership &Owned,
                                           TimePoint Now,
                                           WallMillis Wall) const {
  if (!m_Opts.m_CheckAge)
    return false;
  const std::optional<WallMillis> Minted = keyMintedAt(Request.m_Key);
  if (!Minted)
    return Now < Owned.m_Since + m_Opts.m_Retention;
  const WallMillis Skew = toMillis(m_Opts.m_ClockSkew);
  if (*Minted <= Owned.m_Wall + Skew)
    return true;
  return *Minted + toMillis(m_Opts.m_Retention) <= Wall + Skew;
}

KeyVerdict IdempotencyRegistry::begin(const KeyedRequest &Request,
                                      TimePoint Now, WallMillis Wall,
                                      StoredAnswer &StoredOut) {
  const auto Owned =
      m_OwnedSince.find(keySlice(Request.m_Group, Request.m_Key));
  if (Owned == m_OwnedSince.end())
    return KeyVerdict::NotOwner;
  if (Record *Known = findRecord(Request)) {
    if (Known->m_Fingerprint != Request.m_Fingerprint)
      return KeyVerdict::Reused;
    if (Known->m_State == State::Running)
      return KeyVerdict::Running;
    if (Known->m_State == State::Unknown)
      return KeyVerdict::Unknown;
    StoredOut = Known->m_Answer;
    return KeyVerdict::Answered;
  }
  if (mayHaveRunBefore(Request, Owned->second, Now, Wall))
    return KeyVerdict::Unknown;
  m_Records.emplace(RecordKey(Request.m_Group, Request.m_Key),
                    Record{.m_Fingerprint = Request.m_Fingerprint,
                           .m_State = State::Running,
                           .m_Answer = {},
                           .m_Since = Now});
  return KeyVerdict::Run;
}

IdempotencyRegistry::Record *
IdempotencyRegistry::findRecord(const KeyedRequest &Request) {
  const auto Found = m_Records.find(RecordKey(Request.m_Group, Request.m_Key));
  return Found == m_Records.end() ? nullptr : &Found->second;
}

void IdempotencyRegistry::notRun(const KeyedRequest &Request) {
  m_Records.erase(RecordKey(Request.m_Group, Request.m_Key));
}

void IdempotencyRegistry::answered(const KeyedRequest &Request,
                                   StoredAnswer Answer, TimePoint Now) {
  Record *Known = findRecord(Request);
  if (Known == nullptr)
    return;
  Known->m_Since = Now;
  // Without space for the answer, only the fact that the request ran is kept.
  if (m_StoredBytes + Answer.m_Body.size() > m_Opts.m_MaxStoredBytes) {
    Known->m_State = State::Unknown;
    return;
  }
  m_StoredBytes += Answer.m_Body.size();
  Known->m_State = State::Answered;
  Known->m_Answer = std::move(Answer);
}

void IdempotencyRegistry::unknown(const KeyedRequest &Request, TimePoint Now) {
  Record *Known = findRecord(Request);
  if (Known == nullptr)
    return;
  Known->m_State = State::Unknown;
  Known->m_Since = Now;
}

void IdempotencyRegistry::expire(TimePoint Now) {
  std::erase_if(m_Records, [&](const auto &Item) {
    const Record &Kept = Item.second;
    // Twice the skew is added as the caller's key may look younger than it is.
    const Duration Keep = m_Opts.m_Retention + 2 * m_Opts.m_ClockSkew;
    if (Kept.m_State == State::Running || Now < Kept.m_Since + Keep)
      return false;
    m_StoredBytes -= Kept.m_Answer.m_Body.size();
    return true;
  });
}

} // namespace havenstair
