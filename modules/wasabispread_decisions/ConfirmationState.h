/*
 * Collections of confirmations in progress.
 */
#pragma once

#include "ControlMessage.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** A subtree, under mVm, whose report has not arrived. */
struct AwaitedSubtree
{
  VmId mVm;
  VmId mRoot;
  ZoneName mZone;
};

/** One collection of confirmations, for an operator or for the parent VM in the
    tree. */
struct Collection
{
  /** The operator's exchange; when empty, the report goes to mReplyTo. */
  std::optional<CallerToken> mToken;
  VmId mReplyTo;
  Endpoint mReplyAddress;
  std::uint64_t mReplyId = 0;
  std::vector<AwaitedSubtree> mAwaited;
  ConfirmationReport mReport;
};

/** Collections by the id that their requests to other VMs carry. */
struct ConfirmationState
{
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, Collection> mCollections;
};

} // namespace wasabispread
