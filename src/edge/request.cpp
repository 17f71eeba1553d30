// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/request.h"

namespace waycove {

namespace {

constexpr std::size_t MaxBufferedBytes = 16 << 20;

} // namespace

bool MemorySink::head(int Status, const std::string &Type, Millis Retry,
                      ResponseLength) {
  this->Answer.HttpStatus = Status;
  this->Answer.ContentType = Type;
  this->RetryAfter = Retry;
  return true;
}

bool MemorySink::data(std::string_view Bytes) {
  if (this->Answer.Body.size() + Bytes.size() > MaxBufferedBytes)
    return false;
  this->Answer.Body += Bytes;
  return true;
}

Ran MemorySink::ran() const {
  if (!this->Whole)
    return Ran::Unknown;
  return this->Error.value_or(Ran::Yes);
}

bool MemorySink::end() {
  this->Whole = true;
  return true;
}

wire::ForwardT toForward(const CallerRequest &Request, TimePoint Now) {
  wire::ForwardT Frame;
  Frame.request = Request.Id.Text;
  Frame.workspace = Request.Workspace.Text;
  Frame.kind = static_cast<std::uint8_t>(Request.Target.Kind);
  Frame.name = Request.Target.Name;
  Frame.method = Request.Method;
  Frame.path = Request.Path;
  Frame.body.assign(Request.Body.begin(), Request.Body.end());
  Frame.content_type = Request.ContentType;
  Frame.labels = Request.LabelsText;
  Frame.key = Request.Key.Text;
  Frame.session = Request.Session;
  Frame.repeatable = Request.Repeatable;
  Frame.stream = Request.Stream;
  Frame.priority = static_cast<std::uint8_t>(Request.Priority);
  auto Remaining = std::chrono::duration_cast<Millis>(Request.Deadline - Now);
  Frame.deadline_ms =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Remaining.count(), 0));
  Frame.max_tokens = static_cast<std::uint32_t>(Request.MaxTokens);
  Frame.prompt = Request.Prompt;
  Frame.bound = Request.Bound;
  return Frame;
}

absl::StatusOr<CallerRequest> fromForward(const wire::ForwardT &Frame,
                                          TimePoint Now) {
  CallerRequest Request;
  auto Kind = static_cast<ObjectKind>(Frame.kind);
  if (Kind != ObjectKind::Deployment && Kind != ObjectKind::Service)
    return makeError(ErrorKind::BadRequest, "forward: bad kind");
  absl::StatusOr<Selector> Wanted = parseSelector(Frame.labels);
  if (!Wanted.ok())
    return Wanted.status();
  Request.Id = RequestId(Frame.request);
  Request.Workspace = WorkspaceId(Frame.workspace);
  Request.Target = {Kind, Frame.name};
  Request.Method = Frame.method;
  Request.Path = Frame.path;
  Request.Body.assign(Frame.body.begin(), Frame.body.end());
  Request.ContentType = Frame.content_type;
  Request.LabelsText = Frame.labels;
  Request.Wanted = *Wanted;
  Request.Key = IdempotencyKey(Frame.key);
  Request.Session = Frame.session;
  Request.Repeatable = Frame.repeatable;
  Request.Stream = Frame.stream;
  Request.Priority = Frame.priority;
  constexpr std::uint64_t MaxDeadlineMs = 3600000;
  Request.Deadline =
      Now + Millis(static_cast<std::int64_t>(
                std::min<std::uint64_t>(Frame.deadline_ms, MaxDeadlineMs)));
  Request.Prompt = Frame.prompt;
  Request.MaxTokens = Frame.max_tokens;
  Request.Forwarded = true;
  Request.Bound = Frame.bound;
  return Request;
}

std::uint64_t fingerprintOf(const CallerRequest &Request) {
  std::uint64_t Sum = hashText(Request.Target.text());
  Sum = mixHash(Sum, hashText(Request.Method));
  Sum = mixHash(Sum, hashText(Request.Path));
  return mixHash(Sum, hashText(Request.Body));
}

} // namespace waycove
