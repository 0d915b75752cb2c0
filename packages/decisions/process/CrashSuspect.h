/// \file
/// What may crash the upstreams that run a request.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CRASHSUSPECT_H
#define HAVENSTAIR_DECISIONS_PROCESS_CRASHSUSPECT_H

#include "decisions/common/Id.h"
#include <compare>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

/// Either the whole content of a request, which is the same in each of its
/// retries, or a part of prompts, which requests of other contents share.
class CrashSuspect {
public:
  enum class Kind { Request, PromptPart };

  CrashSuspect() = default;
  /// Each request is a suspect by its content.
  CrashSuspect(const RequestDigest &Request) : m_Digest(Request.str()) {}
  /// \p Digest is equal on all boxes for equal parts.
  static CrashSuspect ofPromptPart(std::string_view Digest);
  /// Reads what str() returned.
  static CrashSuspect parse(const std::string &Text);

  Kind kind() const { return m_Kind; }
  /// \returns the form for messages, keys and logs. That of a part begins with
  /// "part-", and that of a request is its digest.
  std::string str() const;

  auto operator<=>(const CrashSuspect &) const = default;
  bool operator==(const CrashSuspect &) const = default;

  friend std::ostream &operator<<(std::ostream &Out, const CrashSuspect &Of) {
    return Out << Of.str();
  }

private:
  Kind m_Kind = Kind::Request;
  std::string m_Digest;
};

/// All suspects that one request brings to an upstream.
struct RequestSuspects {
  RequestDigest m_Digest;
  /// Parts of its prompt that other requests may share, without repetitions.
  std::vector<CrashSuspect> m_Parts;

  bool holds(const CrashSuspect &Suspect) const;
  /// \returns the content and the parts.
  std::vector<CrashSuspect> all() const;

  auto operator<=>(const RequestSuspects &) const = default;
  bool operator==(const RequestSuspects &) const = default;
};

} // namespace havenstair

#endif
