/// \file
/// Messages between the boxes of a gateway fleet about requests that crash the
/// upstreams that run them. See docs/design/crashing-requests.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_CRASHFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_CRASHFRAMES_H

#include "decisions/process/CrashTracker.h"
#include "wire/common/Json.h"
#include <set>
#include <vector>

namespace havenstair {

/// An upstream has ended; the listed requests of the sender, or of its leaf,
/// were running on it.
struct CrashFrame {
  UpstreamIncarnation m_Server;
  std::vector<RequestSuspects> m_Running;

  bool operator==(const CrashFrame &) const = default;
};

/// More than one upstream has ended while it ran these. A box that knows that
/// an upstream ran one of them without harm answers with a RequestClearedFrame.
struct CrashSuspectsFrame {
  std::vector<CrashSuspect> m_Suspects;

  bool operator==(const CrashSuspectsFrame &) const = default;
};

/// An upstream ran a suspect without harm.
struct RequestClearedFrame {
  CrashSuspect m_Suspect;
  /// Since it completed the request, or since it began to write on the part.
  Duration m_Age = 0us;

  bool operator==(const RequestClearedFrame &) const = default;
};

/// One quarantine. Clocks differ from box to box, so times are
/// relative to the sending of the frame.
struct ReportedQuarantine {
  CrashSuspect m_Suspect;
  std::vector<InstanceId> m_Upstreams; ///< Those that crashed.
  /// The quarantine is for requests that hold these, too. Boxes that do not
  /// read it refuse all that hold the suspect.
  std::set<CrashSuspect> m_Beside;
  BoxName m_By;          ///< The box that quarantined it.
  bool m_Certain = true; ///< Boxes that do not read it take it for true.
  Duration m_Age = 0us;  ///< Since the quarantine began.
  Duration m_Left = 0us; ///< Until the quarantine ends.

  bool operator==(const ReportedQuarantine &) const = default;
};

/// Quarantines that are new, or all of them for a box whose link has come up.
struct QuarantinesFrame {
  std::vector<ReportedQuarantine> m_Quarantines;

  bool operator==(const QuarantinesFrame &) const = default;
};

Json toJson(const CrashFrame &Frame);
Json toJson(const CrashSuspectsFrame &Frame);
Json toJson(const RequestClearedFrame &Frame);
Json toJson(const QuarantinesFrame &Frame);

/// \throws DecodeError for a value of another form.
void fromJson(const Json &From, CrashFrame &Frame);
void fromJson(const Json &From, CrashSuspectsFrame &Frame);
void fromJson(const Json &From, RequestClearedFrame &Frame);
void fromJson(const Json &From, QuarantinesFrame &Frame);

} // namespace havenstair

#endif
