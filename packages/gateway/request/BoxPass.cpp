#include "gateway/request/BoxPass.h"

#include <cstddef>

namespace havenstair {

namespace {

/// Boxes that one request is passed on to. Each that declines answers at once.
constexpr std::size_t MaxAskedBoxes = 6;

} // namespace

std::optional<BoxPass::Target> BoxPass::next(const AllowedRegions &Regions,
                                             bool KeepsVersion,
                                             bool Partitioned) const {
  const std::shared_ptr<PassService> Service = m_Service.lock();
  if (!Service || m_Asked.size() >= MaxAskedBoxes)
    return std::nullopt;
  return Service->choose({.m_Regions = Regions,
                          .m_Tried = m_Asked,
                          .m_KeepsVersions = KeepsVersion,
                          .m_AskDeclined = Partitioned});
}

std::shared_ptr<void> BoxPass::open(const Target &To) {
  m_Asked.insert(To.m_Box);
  const std::shared_ptr<PassService> Service = m_Service.lock();
  return Service ? Service->open(To) : nullptr;
}

HttpHeaders
BoxPass::fields(const std::string &Id,
                const std::optional<SoftwareVersion> &Software) const {
  const std::shared_ptr<PassService> Service = m_Service.lock();
  HttpHeaders Result = Service ? Service->fields(Id) : HttpHeaders();
  if (Software)
    Result.push_back(softwareField(*Software));
  return Result;
}

void BoxPass::onOutcome(const Target &To, std::string_view Outcome,
                        bool Declined) const {
  if (const std::shared_ptr<PassService> Service = m_Service.lock())
    Service->onOutcome(To, Outcome, Declined);
}

} // namespace havenstair
