/// \file
/// Passes one request on to other boxes. See docs/design/partition.md.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_BOXPASS_H
#define HAVENSTAIR_GATEWAY_REQUEST_BOXPASS_H

#include "decisions/common/SoftwareVersion.h"
#include "gateway/request/PassService.h"
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace havenstair {

/// Knows which boxes the request was passed on to, and asks a few at most.
class BoxPass {
public:
  using Target = PassService::Target;

  /// \p Service may be destroyed before the request ends.
  explicit BoxPass(std::weak_ptr<PassService> Service)
      : m_Service(std::move(Service)) {}

  /// \returns the box to ask next; empty if there is none. \p KeepsVersion says
  /// that the request is bound to a software version, \p Partitioned that this
  /// box reaches no upstream.
  std::optional<Target> next(const AllowedRegions &Regions, bool KeepsVersion,
                             bool Partitioned) const;
  /// Records that the request is passed on to \p To. \returns a token that
  /// counts it as open there until it is destroyed.
  std::shared_ptr<void> open(const Target &To);
  /// \returns the fields for the other box, which tell what the request is
  /// bound to.
  HttpHeaders fields(const std::string &Id,
                     const std::optional<SoftwareVersion> &Software) const;
  /// Records how the request ended at \p To. \p Declined says that the box
  /// cannot take requests at present.
  void onOutcome(const Target &To, std::string_view Outcome,
                 bool Declined) const;

private:
  std::weak_ptr<PassService> m_Service;
  std::set<BoxName> m_Asked;
};

} // namespace havenstair

#endif
