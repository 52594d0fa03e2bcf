/** Identifiers and outcomes of requests, and the reasons for which they are refused. */
package org.shallothook.state.request;
