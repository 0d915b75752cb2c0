#include "soak/PartitionInjector.h"

#include "support/SocketOwner.h"

#include <array>

namespace havenstair {

namespace {

using Partition = LoopbackProxy::Partition;

enum class Extent { One, Several, DataCentre, MostOfDataCentre };
constexpr std::array Extents{Extent::One, Extent::Several, Extent::DataCentre,
                             Extent::MostOfDataCentre};
constexpr std::array Ways{Partition::Hangs, Partition::Resets,
                          Partition::RefusesNew};

/// Bytes that waited at the end of a partition arrive behind it.
constexpr Duration LateBytes = 400ms;

} // namespace

void PartitionInjector::prepare() {
  for (const auto &Each : m_Engines) {
    LoopbackProxy &Link = Each->link();
    Link.setNaming([this, Server = Link.endpoint()](const Endpoint &Client) {
      return boxOf(Client, Server);
    });
  }
}

std::string PartitionInjector::boxOf(const Endpoint &Client,
                                     const Endpoint &Server) const {
  const std::uint32_t Inode = socketInode(Client, Server);
  for (const auto &Each : m_Boxes)
    if (Inode != 0 && holdsSocket(Each->process(), Inode))
      return Each->name();
  return "";
}

/// At least one box is left, so that there is something to compare with.
std::set<std::string> PartitionInjector::choose(int Target) const {
  const auto Number = static_cast<std::size_t>(Target);
  const Extent Of = Extents.at(Number % Extents.size());
  const std::size_t First = Number / Extents.size() % m_Boxes.size();
  const std::string &DataCentre = m_Boxes[First]->dataCentre();
  std::set<std::string> Result;
  for (std::size_t Step = 0; Step < m_Boxes.size(); ++Step) {
    const SoakBox &Box = *m_Boxes[(First + Step) % m_Boxes.size()];
    const bool Same = Box.dataCentre() == DataCentre;
    const bool Chosen = Of == Extent::One ? Step == 0
                        : Of == Extent::Several
                            ? Step < (m_Boxes.size() + 1) / 2
                            : Same;
    if (Chosen && Result.size() + 1 < m_Boxes.size())
      Result.insert(Box.name());
  }
  if (Of == Extent::MostOfDataCentre && Result.size() > 1)
    Result.erase(Result.begin());
  return Result;
}

void PartitionInjector::set(const std::set<std::string> &Boxes, Partition Way) {
  for (const auto &Each : m_Engines)
    for (const std::string &Box : Boxes)
      Each->link().setPartition(Box, Way);
}

void PartitionInjector::strike(const ScheduledFault &Fault) {
  const std::set<std::string> Boxes = choose(Fault.m_Target);
  const Partition Way = Ways.at(static_cast<std::size_t>(Fault.m_Target) /
                                Extents.size() % Ways.size());
  if (Boxes.empty())
    return;
  const TimePoint Now = EventLoop::now();
  m_Oracle.partitions().began(Boxes, Now);
  m_Oracle.trouble().add(Disturbances::Reach, Now,
                         Now + Fault.m_For + LateBytes);
  if (Way == Partition::Hangs)
    for (const auto &Each : m_Engines)
      m_Oracle.trouble().add(Each->id(), Now, Now + Fault.m_For + LateBytes);
  set(Boxes, Way);
  m_Heal = m_Loop.after(Fault.m_For, [this, Boxes] {
    set(Boxes, Partition::None);
    m_Oracle.partitions().ended(EventLoop::now());
  });
}

} // namespace havenstair
