/// \file
/// Bounds the sum of what a process holds for requests and answers.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_MEMORYBUDGET_H
#define HAVENSTAIR_DECISIONS_PROCESS_MEMORYBUDGET_H

#include <array>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

namespace havenstair {

/// What memory is held for. Later kinds may use what earlier ones leave free:
/// new requests are refused first, and what has run is given up last.
enum class MemoryUse {
  LargeBody,   ///< Body of a request, of m_Large bytes or more.
  SmallBody,   ///< Any other body of a request.
  LargeAnswer, ///< The same of answers, or of what waits for a reader of one.
  SmallAnswer
};
constexpr std::size_t MemoryUseCount = 4;

class MemoryBudget;

/// A part of a budget, given back when it is destroyed.
class MemoryCharge {
public:
  MemoryCharge() = default;
  ~MemoryCharge() { set(0); }
  MemoryCharge(MemoryCharge &&Other) noexcept;
  MemoryCharge &operator=(MemoryCharge &&Other) noexcept;

  /// Changes the part to \p Bytes. \returns false, and changes nothing, where
  /// the budget has no room for more, and its hook makes none.
  bool resize(std::size_t Bytes);
  std::size_t bytes() const { return m_Bytes; }

private:
  friend class MemoryBudget;
  struct Sums;
  MemoryCharge(std::shared_ptr<Sums> Of, MemoryUse Use)
      : m_Sums(std::move(Of)), m_Use(Use) {}
  void set(std::size_t Bytes);
  MemoryUse useFor(std::size_t Bytes) const;
  bool fits(std::size_t Bytes) const;

  /// Null for a charge of no budget, which takes any size.
  std::shared_ptr<Sums> m_Sums;
  MemoryUse m_Use = MemoryUse::SmallBody;
  std::size_t m_Bytes = 0;
};

/// Hands out charges, which may outlive it.
class MemoryBudget {
public:
  struct Options {
    std::size_t m_Limit = std::numeric_limits<std::size_t>::max(); ///< Bytes.
    /// Bodies and answers from this many bytes on leave room for others.
    std::size_t m_Large = 64 << 10;
    /// Parts of the limit up to which all uses together may grow for a large
    /// and for a small body.
    double m_LargeBodyPart = 0.65;
    double m_SmallBodyPart = 0.8;
    /// Part of the limit that all large answers may hold.
    double m_LargeAnswerPart = 0.4;
  };
  /// Called where a charge finds no room for \p Wanted bytes in all: may give
  /// other charges back.
  using MakeRoom = std::function<void(MemoryUse Use, std::size_t Wanted)>;

  MemoryBudget() : MemoryBudget(Options{}) {}
  explicit MemoryBudget(Options Opts);

  /// \returns the charge, of no bytes yet, of a request's body that has \p
  /// Announced bytes; zero where that is not known.
  MemoryCharge chargeBody(std::size_t Announced) const;
  /// \returns the charge, of no bytes yet, of an answer, which is large or not
  /// by what is charged.
  MemoryCharge chargeAnswer() const;
  /// Sets the hook of all charges; an empty one ends it.
  void onNoRoom(MakeRoom Hook) const;

  std::size_t limit() const;
  std::size_t held() const;
  std::size_t held(MemoryUse Use) const;
  /// Number of times that a charge could not grow.
  std::size_t refusals() const;

private:
  Options m_Opts;
  std::shared_ptr<MemoryCharge::Sums> m_Sums;
};

struct MemoryCharge::Sums {
  /// All uses together may grow to this for each use.
  std::array<std::size_t, MemoryUseCount> m_Limits{};
  std::size_t m_LargeAnswers = 0; ///< Most bytes of them.
  std::size_t m_Large = 0;        ///< See MemoryBudget::Options.
  std::array<std::size_t, MemoryUseCount> m_Held{};
  std::size_t m_Refusals = 0;
  MemoryBudget::MakeRoom m_MakeRoom; ///< May be empty.

  std::size_t held() const;
};

} // namespace havenstair

#endif
