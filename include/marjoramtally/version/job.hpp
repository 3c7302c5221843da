/// Jobs of many generations: what a trainer submits and what it reads.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marjoramtally {

/// A job, as its trainer names it.
using JobId = Strong<std::string, struct JobTag>;
/// One item of a job.
using ItemId = Strong<std::string, struct ItemTag>;
/// Items of a group share their prompt.
using GroupId = Strong<std::string, struct GroupTag>;

/// The request whose signed answer scores an item's text.
struct ScoreCall
{
  RequestId id_;
  std::string host_;
  std::string path_;
  std::string body_;
};

/// One item: a request for a generation.
struct JobItem
{
  ItemId id_;
  GroupId group_;
  std::string path_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  /// Prompt tokens and the most output tokens.
  std::uint64_t tokens_ = 0;
  /// The caller's estimate of the output tokens; right at the median, often
  /// far off.
  std::uint64_t lengthHint_ = 0;
  std::optional<ScoreCall> score_;
};

/// A job as submitted.
struct JobSpec
{
  std::uint64_t step_ = 0;
  std::string model_;
  /// Oldest weight version that may make its text.
  WeightVersion minVersion_;
  /// The trainer waits for this many whole groups.
  std::uint32_t targetGroups_ = 0;
  std::vector<JobItem> items_;
};

/// What the trainer reads of one item.
struct JobResult
{
  ItemId id_;
  /// False: given up, with no text.
  bool completed_ = false;
  std::string text_;
  std::vector<WeightVersion> versions_;
  /// Signature of the answer that scored the text.
  std::string score_;
};

} // namespace marjoramtally
