package org.shallothook.benchmarks.control;

import org.shallothook.coordination.message.PeerMessage;

/**
 * Kinds of messages between processes, as bytes are reported.
 *
 * <p>Immutable and thread-safe.
 */
public enum MessageKind {
  /** Offers of requests. */
  OFFER,
  /** Answers to offers, with their hints. */
  OFFER_REPLY,
  /** Submissions without the prompt and the text delivered before. */
  SUBMIT,
  /** Cancelled attempts. */
  CANCEL,
  /** Positions up to which callers have read. */
  CONSUMED,
  /** Ends and failures of attempts. */
  END,
  /** First messages of connections. */
  HELLO,
  /** States of sidecars. */
  STATUS,
  /** Configuration records and requests for them. */
  CONFIGURATION,
  /** Claims, quarantines and their answers. */
  AGREEMENT,
  /** Signs of life on connections that are silent otherwise. */
  HEARTBEAT,
  /** Reads of the platform's log and list of instances that bring nothing new. */
  PLATFORM,
  /** Prompts, generated text, and bodies of calls: not control. */
  DATA;

  /** Returns whether bytes of this kind count against the budget for control. */
  public boolean isControl() {
    return this != DATA;
  }

  static MessageKind of(PeerMessage message) {
    if (message instanceof PeerMessage.Offer) {
      return OFFER;
    } else if (message instanceof PeerMessage.OfferReply) {
      return OFFER_REPLY;
    } else if (message instanceof PeerMessage.Submit) {
      return SUBMIT;
    } else if (message instanceof PeerMessage.Cancel) {
      return CANCEL;
    } else if (message instanceof PeerMessage.Consumed) {
      return CONSUMED;
    } else if (message instanceof PeerMessage.Ended || message instanceof PeerMessage.Failed) {
      return END;
    } else if (message instanceof PeerMessage.Hello) {
      return HELLO;
    } else if (message instanceof PeerMessage.SidecarStatus
        || message instanceof PeerMessage.OpeningsHeld) {
      return STATUS;
    } else if (message instanceof PeerMessage.ConfigurationRecords
        || message instanceof PeerMessage.ConfigurationRequest) {
      return CONFIGURATION;
    } else if (message instanceof PeerMessage.Tokens
        || message instanceof PeerMessage.Call
        || message instanceof PeerMessage.CallAnswer) {
      return DATA;
    }
    return AGREEMENT;
  }
}
