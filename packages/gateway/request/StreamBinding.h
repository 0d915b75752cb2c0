/// \file
/// Binds one stream to the software version that began it.
/// See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_STREAMBINDING_H
#define HAVENSTAIR_GATEWAY_REQUEST_STREAMBINDING_H

#include "gateway/request/StreamOriginService.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

struct UpstreamInstance;

/// A request is bound from the first event that its caller is given; one that
/// takes a stream up, from the start. Before that it may use any version.
class StreamBinding {
public:
  /// What does not change while the request lives.
  struct Subject {
    std::string m_Attempt;    ///< The request's own id.
    std::string m_Resumes;    ///< The attempt that it continues, if named.
    bool m_Continues = false; ///< The caller takes a stream up.
    RequestDigest m_Digest;
  };
  enum class State {
    Free,   ///< Any version may run the request.
    Open,   ///< The caller takes a stream up; its origin is not known yet.
    Asked,  ///< The answer about its origin is outstanding.
    Bound,  ///< Only one version may run the rest.
    Unknown ///< No upstream may run the rest.
  };

  /// \p Service may be destroyed before the request ends.
  StreamBinding(std::weak_ptr<StreamOriginService> Service, Subject About);
  StreamBinding(const StreamBinding &) = delete;
  StreamBinding &operator=(const StreamBinding &) = delete;

  State state() const { return m_State; }
  /// \returns the version that the request is bound to; empty if it is free.
  const std::optional<SoftwareVersion> &software() const { return m_Software; }
  /// \returns the service that the request is bound to; empty if any may run
  /// it.
  const std::string &service() const { return m_Service; }

  /// Leaves of \p Candidates those at whose versions streams may begin, if
  /// there are any and the request may use any version.
  void preferStored(std::vector<const UpstreamInstance *> &Candidates,
                    TimePoint Now) const;
  /// Finds out how the stream began that the caller takes up at \p Service.
  /// Calls \p Callback once, before this function returns or later; never after
  /// this object is destroyed.
  void ask(const std::string &Service,
           std::function<void(const FoundOrigin &)> Callback);
  /// Binds a request that takes a stream up to a version that is known.
  void bind(const SoftwareVersion &Software);
  /// Records that the caller is given an event of an upstream of \p Software,
  /// and may take the rest up within \p Left.
  void onEvent(const std::string &Service, const SoftwareVersion &Software,
               Duration Left);
  /// Records that the upstream which wrote the events may have been of another
  /// version than it is bound to.
  void onDoubt();

private:
  void record(Duration Left) const;
  void onFound(const FoundOrigin &Found);

  std::weak_ptr<StreamOriginService> m_Origins;
  Subject m_Subject;
  State m_State;
  std::optional<SoftwareVersion> m_Software;
  std::string m_Service;
  bool m_Recorded = false;
  /// Expires with this object, so that later callbacks can tell.
  std::shared_ptr<StreamBinding *> m_Self;
};

} // namespace havenstair

#endif
