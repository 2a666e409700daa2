#ifndef QUETZALQUAY_OBSERVE_CRASHLOG_H_INCLUDED
#define QUETZALQUAY_OBSERVE_CRASHLOG_H_INCLUDED

namespace quetzalquay {

// Makes the process write the queued lines of its log and a last line to
// standard output when a fault, an abort or an uncaught exception ends it. Call
// on the main thread after StartQueuedLog(), as the handler has its own stack
// only there. Signals that already have a handler keep it. A process that is
// killed writes nothing.
void
LogCrashes();

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_CRASHLOG_H_INCLUDED
