/// \file
/// Publishes what engines hold to the other boxes.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CONTENTSPUBLISHER_H
#define HAVENSTAIR_GATEWAY_PROCESS_CONTENTSPUBLISHER_H

#include "gateway/process/LeaderElection.h"
#include "gateway/process/ManagedEngines.h"
#include "wire/connection/FleetFrames.h"
#include <functional>

namespace havenstair {

/// Sends all boxes the contents of engines that differ from what they know. The
/// references must outlive this object.
class ContentsPublisher {
public:
  /// Sends a frame to all boxes.
  using Send = std::function<void(const FleetContentsFrame &)>;

  ContentsPublisher(const LeaderElection &Election, ManagedEngines &Engines,
                    Send SendToAll);
  ContentsPublisher(const ContentsPublisher &) = delete;
  ContentsPublisher &operator=(const ContentsPublisher &) = delete;

  /// Contents of all engines that differ from the list, for a box that has just
  /// been linked; without engines unless this box leads.
  FleetContentsFrame contents(TimePoint Now) const;
  /// Publishes the changes of all engines.
  void publishAll(TimePoint Now);
  /// Publishes the change of one engine, if there is any. Reports come by the
  /// hundred: checking all engines for each would leave a new leader no time
  /// for anything else.
  void publish(const InstanceId &Id, ManagedEngine &Engine, TimePoint Now);

private:
  FleetContentsFrame emptyFrame() const;
  void addUpdate(FleetContentsFrame &Frame, const InstanceId &Id,
                 ManagedEngine &Engine, TimePoint Now);
  void send(const FleetContentsFrame &Frame) const;

  const LeaderElection &m_Election;
  ManagedEngines &m_Engines;
  Send m_Send;
};

} // namespace havenstair

#endif
