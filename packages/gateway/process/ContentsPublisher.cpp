#include "gateway/process/ContentsPublisher.h"

#include <utility>

namespace havenstair {

ContentsPublisher::ContentsPublisher(const LeaderElection &Election,
                                     ManagedEngines &Engines, Send SendToAll)
    : m_Election(Election), m_Engines(Engines), m_Send(std::move(SendToAll)) {}

FleetContentsFrame ContentsPublisher::emptyFrame() const {
  return {.m_FencingToken = m_Election.token(), .m_Engines = {}};
}

FleetContentsFrame ContentsPublisher::contents(TimePoint Now) const {
  FleetContentsFrame Frame = emptyFrame();
  if (!m_Election.leading())
    return Frame;
  for (const auto &[Id, Each] : std::as_const(m_Engines).all())
    if (Each.m_Ledger.known() && Each.differsFrom(m_Engines.entryOf(Id), Now))
      Frame.m_Engines.push_back(Each.contents(Id, Now));
  return Frame;
}

void ContentsPublisher::publishAll(TimePoint Now) {
  FleetContentsFrame Frame = emptyFrame();
  for (auto &[Id, Each] : m_Engines.all())
    addUpdate(Frame, Id, Each, Now);
  send(Frame);
}

void ContentsPublisher::publish(const InstanceId &Id, ManagedEngine &Engine,
                                TimePoint Now) {
  FleetContentsFrame Frame = emptyFrame();
  addUpdate(Frame, Id, Engine, Now);
  send(Frame);
}

void ContentsPublisher::addUpdate(FleetContentsFrame &Frame,
                                  const InstanceId &Id, ManagedEngine &Engine,
                                  TimePoint Now) {
  if (!Engine.m_Ledger.known())
    return;
  if (auto Update = Engine.takeUpdate(m_Engines.entryOf(Id), Now))
    Frame.m_Engines.push_back(std::move(*Update));
}

void ContentsPublisher::send(const FleetContentsFrame &Frame) const {
  if (!Frame.m_Engines.empty())
    m_Send(Frame);
}

} // namespace havenstair
