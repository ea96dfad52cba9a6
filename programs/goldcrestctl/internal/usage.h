#ifndef GOLDCREST_CTL_USAGE_H_
#define GOLDCREST_CTL_USAGE_H_

namespace goldcrest::ctl {

inline constexpr const char* kVersion = "goldcrestctl 0.1.0";
inline constexpr const char* kUsage =
    R"(Operator's tool for a fleet of goldcrestd daemons.

Usage:
  goldcrestctl [options] apply FILE [--base-revision=N] [--change-id=ID]
               [--dry-run] [--author=NAME] [--server=ADDRESS]...
  goldcrestctl [options] get [KIND [NAME]] [--server=ADDRESS]...
  goldcrestctl [options] diff FILE [--server=ADDRESS]...
  goldcrestctl [options] keys issue CUSTOMER NAME [--server=ADDRESS]...
  goldcrestctl [options] keys withdraw NAME [--server=ADDRESS]...
  goldcrestctl [options] status [--server=ADDRESS]...
  goldcrestctl [options] explain SUBJECT [--server=ADDRESS]...
  goldcrestctl [options] journal [--server=ADDRESS]...
  goldcrestctl [options] drain INSTANCE [--server=ADDRESS]...
  goldcrestctl [options] members MEMBER... [--server=ADDRESS]...
  goldcrestctl [options] check FILE [--against=SOURCE] [--format=FORMAT]
  goldcrestctl (-h | --help | --version)

Options:
  --server=ADDRESS   Operator listener of a daemon, HOST:PORT; repeat it to name
                     others to try when one does not answer. Without it:
                     127.0.0.1:8090.
  --token-file=FILE  File with the operator token [default: operator.token].
  --timeout-ms=MS    Time to wait for an answer [default: 10000].
  --base-revision=N  Revision that the change is based on. Without it: that of
                     the file, or else the current one.
  --change-id=ID     Id of the change, to resend it after an unknown outcome.
  --dry-run          Check the change without making it.
  --against=SOURCE   Compare with the version in force: HOST:PORT of a daemon or
                     of a controller, or a file.
  --format=FORMAT    text or json [default: text].
  --author=NAME      Who makes the change; by default the user of this system.

Exit code: 0 on success, 1 on refusal, 2 on wrong usage, 3 when no server
answers. "check" exits with 0 when the file is clean, 1 with warnings, 2 with
errors.
)";

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_USAGE_H_
