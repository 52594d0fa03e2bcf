/** Strict reading of JSON documents, shared by the forms of callers and of the platform. */
package org.shallothook.protocol.json;
