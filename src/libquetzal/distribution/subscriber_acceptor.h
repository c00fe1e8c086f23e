#ifndef QUETZAL_DISTRIBUTION_SUBSCRIBER_ACCEPTOR_H_
#define QUETZAL_DISTRIBUTION_SUBSCRIBER_ACCEPTOR_H_

#include <memory>

#include "distribution/fanout.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Path of the channels between a source and its subscribers.
inline constexpr char kSubscribePath[] = "/distribution/subscribe";

/// Passes channels that are opened on the subscribe path to `fanout`, on `executor`, as
/// long as `fanout` exists. `executor` must outlive all callbacks of `channels`.
void AcceptSubscribers(MessageChannels* channels, Executor* executor,
                       const std::weak_ptr<Fanout>& fanout);

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_SUBSCRIBER_ACCEPTOR_H_
