/// \file
/// Which box reads lists of the store, and which follow it. See
/// docs/design/fleet.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LISTFOLLOWER_H
#define HAVENSTAIR_GATEWAY_PROCESS_LISTFOLLOWER_H

#include "gateway/common/ConfigVouch.h"
#include "gateway/process/ConfigFollower.h"
#include "gateway/process/ConfigSendQueue.h"
#include "gateway/process/ServingState.h"
#include "gateway/process/WatchCache.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/EncodedFrame.h"
#include "wire/connection/FleetFrames.h"
#include <array>
#include <functional>
#include <map>
#include <string>

namespace havenstair {

class DecisionLog;
class Fleet;
class OrderLeader;
class UpstreamRegistry;

/// Keeps this box's copies of the store's lists as new as they must be: by the
/// word of the box that reads for all while that vouches for them, by reading
/// itself otherwise.
class ListFollower {
public:
  struct Options {
    /// Of the platform: how long a leaving upstream may get new work.
    Duration m_DrainTimeout = 2s;
    bool m_FirstStart = false; ///< The whole fleet starts now.
  };
  /// What it reads and changes.
  struct Dependencies {
    Fleet &m_Fleet;
    OrderLeader &m_Leader;
    ServingState &m_State;
    WatchCache &m_Config;
    WatchCache &m_Upstreams;
    const UpstreamRegistry &m_Registry; ///< Of m_Upstreams.
    WatchCache &m_Boxes;
    WatchCache &m_Evacuations;
    DecisionLog &m_Log;
  };
  struct Hooks {
    /// The next box on the way to the one that gives orders; may be empty.
    std::function<BoxName()> m_NextHopToLeader;
    /// Others are about to read what this box has just learned.
    std::function<void()> m_SendNow;
    /// A leaf asks for the whole of its list of upstreams.
    std::function<void(const BoxName &)> m_SendToLeaf;
    /// Connections to the store may be dead without saying so: the next call
    /// takes a new one.
    std::function<void()> m_DropConnections;
  };

  ListFollower(EventLoop &Loop, Dependencies Deps, Options Opts,
               Hooks Callbacks);
  ListFollower(const ListFollower &) = delete;
  ListFollower &operator=(const ListFollower &) = delete;

  /// The topology may have changed.
  void onTopologyChanged();
  /// Whom it follows is chosen anew.
  void chooseSource();
  void forget(const BoxName &Box);

  /// Fills in what \p Frame tells of the lists; it counts as told then.
  void describe(FleetDigestFrame &Frame, TimePoint Now);
  /// Tells \p To the lists that requests are sent by.
  void sendSnapshots(const BoxName &To);
  /// What this box would ask another one for.
  FleetWantFrame makeWantFrame() const;
  /// Sends \p From what is newer here than \p Frame says.
  void answerRequest(const BoxName &From, const FleetWantFrame &Frame);
  void adopt(const BoxName &From, const FleetKeysFrame &Frame);
  static FleetKeysFrame keysFrame(const WatchCache &Cache,
                                  const WatchCache::Delta &News);
  /// What keysFrame() was given.
  static WatchCache::Delta deltaIn(const FleetKeysFrame &Frame);

  /// How it comes by newer configurations.
  ConfigFollower &config() { return m_Config; }
  const ConfigFollower &config() const { return m_Config; }
  /// Which boxes wait for the configuration of this one.
  ConfigSendQueue &configSendQueue() { return m_ConfigSendQueue; }
  /// Another box tells of a list.
  void readIfBehind(const FleetDigestFrame &Frame, TimePoint Now);
  /// \p HeldUp: by how much longer than usual the word was under way.
  void recordDigest(const BoxName &From, const FleetDigestFrame &Frame,
                    Duration ExcessDelay, TimePoint Now);

  /// Whether the uplink of this box, a leaf, has to be followed, and its lists
  /// have been too old for long: another one may know better.
  bool uplinkOutdated(TimePoint Now) const;

  ConfigVouch configFreshness(TimePoint Now) const;
  /// As of when this box's configuration was the store's, or later; and its
  /// evacuations.
  TimePoint configConfirmedAt() const;
  TimePoint evacuationsConfirmedAt() const;
  /// Whether to watch the configuration closely, as where keys must not be
  /// trusted by an old one.
  void watchConfigClosely(bool Closely) { m_ConfigClosely = Closely; }
  /// Operators evacuate data centres: what they ask for travels with the list.
  void followEvacuations(bool Follow) { m_FollowEvacuations = Follow; }

private:
  Duration age(TimePoint Now) const;
  TimePoint listConfirmedAt() const;
  TimePoint confirmedAtOf(const WatchCache &Cache) const;
  Duration maxListAge() const;
  BoxName listSource(TimePoint Now) const;
  /// As of when \p Box vouches for this box's copy.
  TimePoint peerConfirmedAt(const BoxName &Box) const;
  bool confirms(const BoxName &Box, TimePoint Now) const;
  Duration coalesceDelay() const;
  bool listsBehind(const FleetWantFrame &Newest) const;
  const EncodedFrame &encodedSnapshot(const WatchCache &Cache);
  void sendList(const BoxName &From);
  bool needsFullList() const;
  bool followsUplink() const;
  void watchClosely();
  ConfigSendQueue::Hooks sendQueueHooks();
  bool awaitsFirstList(TimePoint Now) const;
  bool skipsEvacuations(TimePoint Now, bool Relayed) const;
  void setRelayed(WatchCache &Cache, bool Relayed);
  std::array<WatchCache *, 4> caches() const;
  WatchCache *cacheFor(const std::string &Prefix) const;

  /// What a box whose lists this one could follow last said of them.
  struct PeerLists {
    TimePoint m_ConfirmedAt{}; ///< They were the store's state then, or later.
    FleetWantFrame m_Newest;   ///< What they hold.
    /// As of when this box's copy was the same as theirs before that.
    TimePoint m_ConfirmedBefore{};
  };

  Dependencies m_Deps;
  Options m_Opts;
  Hooks m_Hooks;
  /// A whole copy, for those that ask for it.
  struct EncodedSnapshot {
    StoreRevision m_At = 0;
    EncodedFrame m_Frame;
  };
  std::map<std::string, EncodedSnapshot> m_Snapshots; ///< By prefix.
  std::map<BoxName, PeerLists> m_PeerLists;
  TimePoint
      m_ListConfirmedAt{}; ///< The latest that was known of this box's copy.
  BoxName m_ListSource;    ///< The box whose lists this one follows.
  TimePoint m_SentConfirmedAt =
      EventLoop::now(); ///< As of when this box last vouched for its lists.
  TimePoint m_StartedAt = EventLoop::now();
  TimePoint m_ListReadAt{}; ///< When it was read anew on another box's word.
  bool m_ConfigClosely = false;
  bool m_FollowEvacuations = false;
  ConfigFollower m_Config;
  ConfigSendQueue m_ConfigSendQueue;
  Timer m_SourceTimer;
};

} // namespace havenstair

#endif
