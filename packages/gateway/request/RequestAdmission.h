/// \file
/// Whether one request is sent to the upstream that was chosen for it.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTADMISSION_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTADMISSION_H

#include "decisions/process/ModelDemand.h"
#include "decisions/request/ErrorKind.h"
#include "decisions/request/PromptPacing.h"
#include "decisions/request/ReplicaAdmission.h"
#include "decisions/request/ReplicaChoice.h"
#include "decisions/request/RequestDescriptor.h"
#include "decisions/request/UpstreamEligibility.h"
#include "gateway/request/ChoiceDetails.h"
#include "gateway/request/RequestPermit.h"
#include "gateway/request/RequestTimes.h"
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace havenstair {

struct ServingState;

/// Decides after each choice of an upstream whether the request is sent, waits,
/// or is refused, and remembers what it decided by. See
/// docs/design/admission.md.
class RequestAdmission {
public:
  /// The request; all of it must outlive this object.
  struct Subject {
    const RequestDescriptor &m_Request;
    const Route &m_Route;
    const RequestTimes &m_Times;
    const std::string &m_Service; ///< May change between two decisions.
  };
  /// What is referred to must outlive this object.
  struct Options {
    const AdmissionOptions &m_Admission;
    const PacingOptions &m_Pacing;
    /// Time after which a caller should retry while this box stops.
    Duration m_StoppingRetryAfter = 0us;
  };
  struct Hooks {
    /// Called when the request waits for a known model, or an adapter of one,
    /// that no upstream holds.
    std::function<void(const ModelKey &)> m_Missing;
    std::function<double()> m_Random; ///< Random numbers from 0 to 1.
  };
  /// What a decision is based on besides the state of the process.
  struct Choice {
    const UpstreamEligibility &m_Eligible;
    /// Empty if there was no candidate.
    const std::optional<ChosenReplica> &m_Chosen;
    const AllowedRegions &m_Regions;
    /// Version that the request is bound to; empty for any.
    const std::optional<SoftwareVersion> &m_Software;
  };
  struct Verdict {
    AdmissionStep m_Step = AdmissionStep::Send;
    Duration m_Delay = 0us; ///< For Wait.
    Failure m_Refusal;      ///< For Refuse.
  };

  /// \p State must outlive this object.
  RequestAdmission(const ServingState &State, Options Opts, Hooks Callbacks,
                   Subject Of)
      : m_State(State), m_Opts(Opts), m_Hooks(std::move(Callbacks)),
        m_Subject(Of) {}

  /// Records that \p Chosen was chosen among \p Candidates upstreams.
  void onChosen(std::size_t Candidates,
                const std::optional<ChosenReplica> &Chosen);
  /// \returns whether the configuration lists the request's model for its
  /// service, or an engine of the service holds it. Others cannot be loaded.
  bool knowsModel() const;
  /// \returns what the last choice was based on.
  const ChoiceDetails &details() const { return m_Details; }

  /// \returns the refusal of a request for which no upstream is left because
  /// all others need permits that are not available in time (\p Deferral), or
  /// have stated a time to retry after while no load of its model ends sooner;
  /// empty if it is not known when one can be sent to.
  std::optional<Failure>
  refusalUntilLater(const UpstreamEligibility &Eligible,
                    const std::optional<RequestPermit::Deferral> &Deferral,
                    TimePoint Now);
  /// Decides on a request that has not been sent.
  Verdict decide(const Choice &Of, TimePoint Now);
  /// \returns how long to wait before a prompt is read beside running streams;
  /// empty if there is no need to wait. Streams pause while a prompt is read,
  /// so prompts are spread out.
  std::optional<Duration> promptDelay(const ChosenReplica &Chosen,
                                      TimePoint Now) const;

private:
  bool namesModel() const { return !m_Subject.m_Request.m_Model.empty(); }
  AdmissionFacts factsOf(const Choice &Of, TimePoint Now) const;
  std::optional<Failure> refusalWithoutUpstream(const Choice &Of) const;

  const ServingState &m_State;
  Options m_Opts;
  Hooks m_Hooks;
  Subject m_Subject;
  ChoiceDetails m_Details;
};

} // namespace havenstair

#endif
