/// \file
/// Messages between the boxes of a gateway fleet about requests that end the
/// servers that run them. See docs/design/crashing-requests.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_CRASHFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_CRASHFRAMES_H

#include "decisions/process/CrashTracker.h"
#include "wire/common/Json.h"
#include <vector>

namespace havenstair {

/// A server ended; these requests of the sender, or of its leaf, were on it.
struct CrashFrame {
  UpstreamIncarnation m_Server;
  std::vector<RequestDigest> m_Running;

  bool operator==(const CrashFrame &) const = default;
};

/// More than one server has ended under these. Who knows that one of them ran
/// well says so.
struct CrashSuspectsFrame {
  std::vector<RequestDigest> m_Requests;

  bool operator==(const CrashSuspectsFrame &) const = default;
};

/// A server ran a suspected request to an end and lives.
struct RequestClearedFrame {
  RequestDigest m_Request;

  bool operator==(const RequestClearedFrame &) const = default;
};

/// One barred request. Clocks differ from box to box, so times are told as they
/// are from now on.
struct ReportedQuarantine {
  RequestDigest m_Request;
  std::vector<InstanceId> m_Upstreams;
  BoxName m_By;
  Duration m_Age = 0us;
  Duration m_Left = 0us;

  bool operator==(const ReportedQuarantine &) const = default;
};

/// Bars that are new, or all of them to a box whose link has come up.
struct QuarantinesFrame {
  std::vector<ReportedQuarantine> m_Bars;

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
